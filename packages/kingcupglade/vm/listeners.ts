import { AnnouncementBatcher } from "../listeners/announcement_batcher.ts";
import { HttpListener } from "@kingcupglade/transport";
import { openPeersListener } from "../listeners/peers.ts";
import { openTargetsListener } from "../listeners/targets.ts";
import type { VmContext } from "./context.ts";
import type { VmTasks } from "./tasks.ts";

/** Listeners that are opened after the tasks of a VM have started. */
export interface VmListeners {
  readonly callers: HttpListener;
  readonly targets: HttpListener;
  readonly peers: HttpListener;
}

/**
 * Opens the listeners for other VMs, callers and targets, in this order.
 *
 * @throws {ListenError} when an address cannot be used.
 */
export async function openListeners(
  context: VmContext,
  tasks: VmTasks,
): Promise<VmListeners> {
  const { settings, secrets, createControlClient } = context;
  const { vm, listen } = settings;
  const { control, credits, ledger, gateway } = tasks;
  const peers = await openPeersListener({
    ...context,
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
    tls: context.tls,
    address: listen.callers,
    handler: (request, response) => {
      void gateway.serve(request, response);
    },
  });
  const targets = await openTargetsListener({
    ...context,
    address: listen.targets,
    secret: secrets.target,
    batcher: new AnnouncementBatcher({
      ...context,
      control: createControlClient(),
      vm: vm.name,
    }),
  });
  return { callers, targets, peers };
}
