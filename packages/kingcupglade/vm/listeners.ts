import { AnnouncementBatcher } from "../listeners/announcement_batcher.ts";
import { HttpListener } from "@kingcupglade/transport";
import { openPeersListener } from "../listeners/peers.ts";
import { openTargetsListener } from "../listeners/targets.ts";
import type { VmFoundation } from "./foundation.ts";
import type { VmTasks } from "./tasks.ts";

/** The listeners that are opened when the tasks of a VM run. */
export interface VmListeners {
  readonly callers: HttpListener;
  readonly targets: HttpListener;
  readonly peers: HttpListener;
}

/**
 * Opens the listeners for VMs, callers and targets, in this order.
 *
 * @throws {ListenError} when an address cannot be used.
 */
export async function openListeners(
  foundation: VmFoundation,
  tasks: VmTasks,
): Promise<VmListeners> {
  const { settings, secrets, createControlClient } = foundation;
  const { vm, listen } = settings;
  const { control, credits, ledger, gateway } = tasks;
  const peers = await openPeersListener({
    ...foundation,
    address: listen.peers,
    secret: secrets.vm,
    control,
    services: [credits.addService, (registry) => ledger.addService(registry)],
    forwarded: (request, response) => {
      void gateway.serveForwarded(request, response);
    },
  });
  const callers = await HttpListener.open({
    name: "callers",
    tls: foundation.tls,
    address: listen.callers,
    handler: (request, response) => {
      void gateway.serve(request, response);
    },
  });
  const targets = await openTargetsListener({
    ...foundation,
    address: listen.targets,
    secret: secrets.target,
    batcher: new AnnouncementBatcher({
      ...foundation,
      control: createControlClient(),
      vm: vm.name,
    }),
  });
  return { callers, targets, peers };
}
