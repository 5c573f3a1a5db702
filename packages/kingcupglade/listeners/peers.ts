import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Interceptor, ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { parseSignedBundle } from "@kingcupglade/bundle";
import {
  MessageError,
  parseConsensusMessage,
  unpackMessage,
} from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { AnnouncementError } from "@kingcupglade/membership";
import type { GroupLoadReport } from "@kingcupglade/ownership";
import {
  Control,
  decodeValue,
  encodeValue,
  Replication,
  WireError,
} from "@kingcupglade/protocol";
import { Header } from "@kingcupglade/routing";
import { forwardedPathPrefix } from "../gateway/forwarder.ts";
import {
  AnnouncementCache,
  encodeReplies,
} from "../control/announcement_codec.ts";
import type { ControlTask } from "../control/control_task.ts";
import { NotLeaderError } from "../control/errors.ts";
import type { ResolvedTls } from "../settings/tls.ts";
import { HttpListener } from "@kingcupglade/transport";
import { presentsSecret, UnaryServices } from "@kingcupglade/transport";
import type { ServiceRegistry } from "@kingcupglade/transport";

const defaultHeaderBytes = 16_384;

/** Opens the listener for the other VMs. */
export function openPeersListener(options: {
  readonly address: string;
  readonly tls: ResolvedTls;
  readonly secret: string;
  /** Undefined on a VM without a data folder. */
  readonly control: ControlTask | undefined;
  /** Adds the services of other tasks of this VM. */
  readonly services?: readonly ((registry: ServiceRegistry) => void)[];
  /** Serves callers' requests that other VMs forward. */
  readonly forwarded: RequestListener;
}): Promise<HttpListener> {
  const { address, secret, control, services = [] } = options;
  const unary = new UnaryServices({ secret });
  const cache = new AnnouncementCache();
  addReplication(unary, control);
  unary.service(Control, leaseMethods(control, cache));
  for (const addService of services) addService(unary);
  const serveConnect = connectNodeAdapter({
    routes: (router) => addControl(router, control, cache),
    interceptors: [requireSecret(secret)],
    fallback: forwardedRequestHandler(options),
  });
  return HttpListener.open({
    name: "peers",
    tls: options.tls,
    address,
    handler: (request, response) => {
      if (!unary.handle(request, response)) serveConnect(request, response);
    },
    maximumHeaderBytes: 2 * defaultHeaderBytes,
  });
}

type FallbackHandler = NonNullable<
  Parameters<typeof connectNodeAdapter>[0]["fallback"]
>;

/** Passes callers' requests to the gateway if another VM forwarded them. */
function forwardedRequestHandler(options: {
  readonly secret: string;
  readonly forwarded: RequestListener;
}): FallbackHandler {
  return (received, outgoing) => {
    const request = received as IncomingMessage;
    const response = outgoing as ServerResponse;
    const presented = request.headers[Header.vmSecret];
    const isForwarded = request.url?.startsWith(`${forwardedPathPrefix}/`);
    if (!isForwarded || !presentsSecret(String(presented), options.secret)) {
      response.writeHead(404).end();
      return;
    }
    options.forwarded(request, response);
  };
}

function requireSecret(secret: string): Interceptor {
  return (next) => (request) => {
    if (!presentsSecret(request.header.get("authorization"), secret)) {
      throw new ConnectError("the VM secret is missing", Code.Unauthenticated);
    }
    return next(request);
  };
}

function addReplication(
  registry: ServiceRegistry,
  control: ControlTask | undefined,
): void {
  registry.service(Replication, {
    deliver: async ({ from, messages }) => ({
      messages: await control?.receive(
        from,
        messages.map(decodeConsensusMessage),
      ) ?? [],
    }),
    hello: () => {
      const { replica = "", member = false, founders = [] } = control?.hello ??
        {};
      return { replica, member, founders: [...founders] };
    },
    found: async (request) => ({
      accepted: (await control?.bootstrap(request.voters)) ?? false,
    }),
  });
}

function addControl(
  registry: ServiceRegistry,
  control: ControlTask | undefined,
  cache: AnnouncementCache,
): void {
  registry.service(Control, {
    ...leaseMethods(control, cache),
    roll: (request) =>
      redirectToLeader(control, async (task) => ({
        outcome: encodeValue(
          await task.roll(parseSignedBundle(decodeValue(request.signedBundle))),
        ),
      })),
    status: () =>
      redirectToLeader(
        control,
        (task) => Promise.resolve({ status: encodeValue(task.status()) }),
      ),
  });
}

/** The methods that every VM calls several times a second. */
function leaseMethods(
  control: ControlTask | undefined,
  cache: AnnouncementCache,
): Pick<ServiceImpl<typeof Control>, "renew" | "announce"> {
  return {
    renew: (request) =>
      redirectToLeader(control, async (task) => {
        const { appliedVersion, quiescentVersion } = request;
        const renewal = await task.renew({
          vm: {
            name: request.vm,
            boot: request.boot,
            dataCentre: request.dataCentre,
            region: request.region,
            peerAddress: request.peerAddress,
            callersAddress: request.callersAddress,
            replica: request.replica || null,
            leaving: request.leaving,
          },
          appliedVersion,
          quiescentVersion,
          load: request.observations.length > 0
            ? decodeValue<readonly GroupLoadReport[]>(request.observations)
            : [],
        }, request.holdMilliseconds);
        return {
          leaseMilliseconds: renewal.leaseMilliseconds,
          tableVersion: renewal.tableVersion,
          delta: renewal.delta,
        };
      }),
    announce: (request) =>
      redirectToLeader(control, async (task) => {
        const announcements = request.announcements.map((each) =>
          rejectInvalid(() => cache.read(each))
        );
        return { replies: encodeReplies(await task.announce(announcements)) };
      }),
  };
}

async function redirectToLeader<Answer>(
  control: ControlTask | undefined,
  serve: (task: ControlTask) => Promise<Answer>,
): Promise<Answer | { readonly redirect: { readonly leader: string } }> {
  if (!control) return { redirect: { leader: "" } };
  try {
    return await serve(control);
  } catch (cause) {
    if (cause instanceof NotLeaderError) {
      return { redirect: { leader: control.leaderVm } };
    }
    throw cause;
  }
}

function decodeConsensusMessage(bytes: Uint8Array): ConsensusMessage {
  return rejectInvalid(() =>
    parseConsensusMessage(unpackMessage(decodeValue(bytes)))
  );
}

/**
 * Rejects malformed messages as invalid arguments, so that log lines attribute
 * the fault to their sender.
 */
function rejectInvalid<Value>(decode: () => Value): Value {
  try {
    return decode();
  } catch (cause) {
    const isKnown = cause instanceof WireError ||
      cause instanceof MessageError || cause instanceof AnnouncementError;
    if (!isKnown) throw cause;
    throw new ConnectError(
      cause.message,
      Code.InvalidArgument,
      undefined,
      undefined,
      cause,
    );
  }
}
