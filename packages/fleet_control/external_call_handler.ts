import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { describeChange } from "@kingcupglade/items";
import { Fleet } from "@kingcupglade/protocol";
import { NotLeaderError } from "@kingcupglade/replica";
import type { StallDetector } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import {
  BodyMemory,
  hasCallerLeft,
  readBody,
  waitForClose,
} from "@kingcupglade/transport";
import { answerBatch } from "./answer_batch.ts";
import type {
  ControlWire,
  ExternalCall,
  ExternalRequest,
  ExternalResponse,
  ExternalResult,
} from "./control_wire.ts";
import { insufficientReplicas, ItemCalls } from "./item_calls.ts";
import type { ItemCallsOptions } from "./item_calls.ts";
import type { FleetReplica, LeaderSession } from "./leader_session.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { PeerClocks } from "./peer_clocks.ts";
import { ageOf, isVersioned } from "./received_call.ts";
import type { PeerTime, ReceivedCall, RelayedCall } from "./received_call.ts";
import { RelayBatch } from "./relay_batch.ts";
import { nameWorkspaces } from "./workspace_seals.ts";

/**
 * Targets and operators time out after a second, which must cover both the wait
 * for a leader and the relay.
 */
const relayTimeoutMilliseconds = 450;
/**
 * The leader may wait a second for gateways before it acknowledges a change of
 * items; operators give up after 4 s.
 */
const changeRelayTimeoutMilliseconds = 1600;
const leaderWaitMilliseconds = 450;
const leaderPollIntervalMilliseconds = 25;
const maximumCallBytes = 16 * 1024 * 1024;
/**
 * Age beyond which the sender of a call has turned to another VM. A call without
 * a version is not carried out then, as its sender may have ordered otherwise.
 */
const maximumAgeMilliseconds = 1000;

/** Leadership as known to a control VM. */
export interface Leadership {
  readonly replica: FleetReplica | undefined;
  readonly session: LeaderSession | undefined;
  /** Whether this VM is the leader and ready to decide. */
  readonly isLeading: boolean;
  /** Peer address of the leader; null if unknown. */
  readonly leaderAddress: string | null;
}

/** Options of an {@link ExternalCallHandler}. */
export interface ExternalCallHandlerOptions
  extends Omit<ItemCallsOptions, "wire"> {
  readonly peerAddress: string;
  readonly wire: ControlWire;
  readonly clients: PeerClients;
  /** Clocks of the other control VMs. */
  readonly peerClocks: PeerClocks;
  readonly stalls: StallDetector;
  /** Returns the time on the clock of this process, as other VMs know it. */
  readonly ownTime: () => PeerTime;
}

/**
 * Handles calls of targets and operators, at the leader or by relaying them to
 * it.
 */
export class ExternalCallHandler {
  readonly #options: ExternalCallHandlerOptions;
  readonly #leadership: Leadership;
  readonly #bodyMemory = new BodyMemory();
  readonly #items: ItemCalls;
  readonly #relays = new RelayBatch({
    send: (calls, timeout) => this.#send(calls, timeout),
  });

  constructor(options: ExternalCallHandlerOptions, leadership: Leadership) {
    this.#options = options;
    this.#leadership = leadership;
    this.#items = new ItemCalls(options);
  }

  /** Handles one call. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { wire, logger, stalls } = this.#options;
    const received = {
      readAt: stalls.observe(),
      delayMilliseconds: stalls.readDelay(),
      knownIndex: this.#leadership.replica?.appliedIndex ?? null,
    };
    const reservation = this.#bodyMemory.reserve();
    let encoded: ExternalResponse;
    try {
      const call: ExternalRequest = {
        method: request.method ?? "",
        path: request.url ?? "",
        body: await readBody(request, maximumCallBytes, reservation),
      };
      await waitForClose();
      await this.#waitForLeader();
      if (hasCallerLeft(request)) {
        logger.info("call-abandoned", { path: call.path });
        return;
      }
      const receivedCall = { ...received, request: call };
      encoded = this.#leadership.isLeading
        ? await this.serve(receivedCall)
        : await this.#relay(receivedCall);
    } catch (failure) {
      const reason = describeFailure(failure);
      logger.warn("call-failed", { path: request.url ?? "", reason });
      encoded = wire.encode({ kind: "unavailable", reason });
    } finally {
      reservation.release();
    }
    if (response.destroyed) return;
    // The rest of an unread body must not be parsed as the next request.
    if (!request.complete) response.setHeader("connection", "close");
    response.writeHead(encoded.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(encoded.body),
    });
    response.end(encoded.body);
  }

  // Waits for a leader, as an election takes less time than a rejected caller
  // waits before it retries.
  async #waitForLeader(): Promise<void> {
    const { clock, peerAddress } = this.#options;
    const until = clock.now() + leaderWaitMilliseconds;
    while (clock.now() < until) {
      const leader = this.#leadership.leaderAddress;
      if (
        this.#leadership.isLeading ||
        (leader !== null && leader !== peerAddress)
      ) {
        return;
      }
      await pause(leaderPollIntervalMilliseconds);
    }
  }

  #relay(call: ReceivedCall): Promise<ExternalResponse> {
    const { wire } = this.#options;
    const decoded = wire.decode(call.request);
    const rejection = this.#rejectOutdated(call, decoded);
    if (rejection) return Promise.resolve(wire.encode(rejection));
    return decoded.kind === "announce"
      ? this.#relays.enqueue(call)
      : this.#relayNow(call, decoded);
  }

  async #relayNow(
    call: ReceivedCall,
    decoded: ExternalCall,
  ): Promise<ExternalResponse> {
    const isChange = decoded.kind === "changeItems";
    const response = await this.#relays.sendNow(
      call,
      isChange ? changeRelayTimeoutMilliseconds : undefined,
    );
    const items = this.#leadership.replica?.state.items ?? new Map();
    this.#options.logger.info("call-relayed", {
      path: call.request.path,
      leader: this.#leadership.leaderAddress,
      status: response.status,
      ageMilliseconds: Math.round(ageOf(call, this.#options.stalls.observe())),
      names: isChange
        ? describeChange(
          nameWorkspaces(decoded.change, decoded.workspaces ?? []),
          items,
        )
        : null,
    });
    return response;
  }

  async #send(
    calls: readonly ReceivedCall[],
    timeoutMilliseconds = relayTimeoutMilliseconds,
  ): Promise<readonly ExternalResponse[]> {
    const { wire, peerAddress, clients, peerClocks, clock, stalls } =
      this.#options;
    const leader = this.#leadership.leaderAddress;
    if (leader === null || leader === peerAddress) {
      const reason = "no leader is known";
      return calls.map(() => wire.encode({ kind: "unavailable", reason }));
    }
    const now = stalls.observe();
    const sentAt = peerClocks.earliest(leader, clock.now());
    const relayed = calls.map((call): RelayedCall => ({
      ...call.request,
      receipt: {
        ageMilliseconds: ageOf(call, now),
        knownIndex: call.knownIndex,
        sentAt,
      },
    }));
    const { result } = await clients.client(leader, Fleet).relay(
      { call: packValue(relayed) },
      { timeoutMs: timeoutMilliseconds },
    );
    return unpackValue(result);
  }

  /** Executes calls relayed by a follower. */
  async serveRelayed(packed: Uint8Array): Promise<Uint8Array<ArrayBuffer>> {
    const calls = unpackValue<readonly RelayedCall[]>(packed);
    const served = calls.map((each) =>
      this.#serveRelayedCall(this.#receiveRelayed(each))
    );
    const reason = "the call takes longer than its sender waits";
    const late = this.#options.wire.encode({ kind: "unavailable", reason });
    return packValue(await answerBatch(served, late));
  }

  #receiveRelayed({ receipt, ...request }: RelayedCall): ReceivedCall {
    const { stalls } = this.#options;
    const transitMilliseconds = Math.max(
      stalls.readDelay(),
      this.#timeSince(receipt?.sentAt ?? null),
    );
    return {
      request,
      readAt: stalls.observe(),
      delayMilliseconds: transitMilliseconds + (receipt?.ageMilliseconds ?? 0),
      knownIndex: receipt?.knownIndex ?? null,
    };
  }

  // A time on the clock of an earlier process is of no use, and the connection
  // on which it came is younger than this process.
  #timeSince(sentAt: PeerTime | null): number {
    const now = this.#options.ownTime();
    return sentAt?.process === now.process
      ? now.milliseconds - sentAt.milliseconds
      : 0;
  }

  // A call that fails must not fail the others of its batch.
  async #serveRelayedCall(call: ReceivedCall): Promise<ExternalResponse> {
    const { wire, logger } = this.#options;
    try {
      return await this.serve(call);
    } catch (failure) {
      const reason = describeFailure(failure);
      logger.warn("call-failed", { path: call.request.path, reason });
      return wire.encode({ kind: "unavailable", reason });
    }
  }

  /** Executes a call that was relayed by a follower or received directly. */
  async serve(call: ReceivedCall): Promise<ExternalResponse> {
    const { wire, logger } = this.#options;
    const { request } = call;
    const decoded = wire.decode(request);
    if (decoded.kind === "unreadable") {
      logger.warn("call-unreadable", {
        path: request.path,
        faults: decoded.faults.join("; "),
      });
    }
    return wire.encode(
      this.#rejectOutdated(call, decoded) ?? await this.#execute(call, decoded),
    );
  }

  #rejectOutdated(
    call: ReceivedCall,
    decoded: ExternalCall,
  ): ExternalResult | undefined {
    const { logger, stalls } = this.#options;
    const age = ageOf(call, stalls.observe());
    if (isVersioned(decoded) || age <= maximumAgeMilliseconds) return undefined;
    logger.warn("call-outdated", {
      path: call.request.path,
      ageMilliseconds: Math.round(age),
    });
    return { kind: "unavailable", reason: "the call was delivered late" };
  }

  async #execute(
    { knownIndex }: ReceivedCall,
    call: ExternalCall,
  ): Promise<ExternalResult> {
    if (call.kind === "unreadable") {
      return { kind: "refused", faults: call.faults };
    }
    if (call.kind === "unknown") return { kind: "unknown" };
    const { logger } = this.#options;
    const session = this.#leadership.session;
    const replica = this.#leadership.replica;
    if (!session || !replica || !this.#leadership.isLeading) {
      return { kind: "unavailable", reason: "this VM does not lead" };
    }
    try {
      switch (call.kind) {
        case "announce": {
          const answer = await session.handleHeartbeat(call.announcement);
          return answer === null
            ? { kind: "unavailable", reason: "the heartbeat is not recorded" }
            : { kind: "announced", answer };
        }
        case "leave":
          return await session.handleDeparture(call.target, call.bornAt)
            ? { kind: "acknowledged" }
            : unheardTarget;
        case "readItems":
          return await this.#items.read({ replica, session });
        case "changeItems":
          return await this.#items.change(call, { replica, session });
        case "evacuate": {
          if (!this.#items.mayAcknowledge(replica)) {
            return insufficientReplicas;
          }
          const { dataCentre, isOut } = call;
          const outcome = await session.evacuate({
            dataCentre,
            isOut,
            knownIndex,
          });
          logger.info("data-centre-changed", {
            of: dataCentre,
            isOut,
            outcome: outcome.kind,
            knownIndex,
            index: replica.appliedIndex,
          });
          return outcome.kind === "overtaken"
            ? overtakenOrder
            : this.#items.complete(outcome, session);
        }
      }
    } catch (failure) {
      if (!(failure instanceof NotLeaderError)) throw failure;
      return { kind: "unavailable", reason: failure.message };
    }
  }
}

const unheardTarget: ExternalResult = {
  kind: "unavailable",
  reason: "the departure names no start, and none is known here yet",
};

const overtakenOrder: ExternalResult = {
  kind: "unavailable",
  reason: "another order for this data centre was acknowledged meanwhile",
};
