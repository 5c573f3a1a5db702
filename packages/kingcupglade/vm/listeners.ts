import { AnnouncementBatcher } from "../listeners/announcement_batcher.ts";
import { HttpListener } from "../listeners/http_listener.ts";
import { openOperatorsListener } from "../listeners/operators.ts";
import { openPeersListener } from "../listeners/peers.ts";
import { openTargetsListener } from "../listeners/targets.ts";
import type { VmFoundation } from "./foundation.ts";
import type { VmTasks } from "./tasks.ts";

/** The listeners of one VM. */
export interface VmListeners {
  readonly callers: HttpListener;
  readonly targets: HttpListener;
  readonly peers: HttpListener;
  readonly operators: HttpListener;
}

/**
 * Opens the listeners of a VM, the one for callers after the one for VMs.
 *
 * @throws {ListenError} when an address cannot be used.
 */
export async function openListeners(
  foundation: VmFoundation,
  tasks: VmTasks,
  options: { readonly isReady: () => boolean },
): Promise<VmListeners> {
  const { settings, secrets, createControlClient } = foundation;
  const { vm, listen } = settings;
  const { control, credits, ledger, gateway, routing } = tasks;
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
  const operators = await openOperatorsListener({
    ...foundation,
    address: listen.operators,
    control: createControlClient(),
    routing,
    isReady: options.isReady,
  });
  return { callers, targets, peers, operators };
}
