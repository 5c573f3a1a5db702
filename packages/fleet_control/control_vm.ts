import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import type { FleetOutcome } from "@kingcupglade/fleet";
import {
  decodeValue,
  encodeValue,
  Fleet,
  Replication,
} from "@kingcupglade/protocol";
import { NotLeaderError, vmOfReplica } from "@kingcupglade/replica";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { HttpListener, LeanServices, readBody } from "@kingcupglade/transport";
import { ControlReplica } from "./control_replica.ts";
import type {
  ControlWire,
  OutsideAnswer,
  OutsideRequest,
  OutsideResult,
} from "./control_wire.ts";
import { chooseFoundingStep } from "./founding.ts";
import type { Greeting } from "./greeting.ts";
import { LeaderSession } from "./leader_session.ts";
import type { FleetReplica } from "./leader_session.ts";
import { Members } from "./members.ts";
import { PeerCalls } from "./peer_calls.ts";
import { planMembers } from "./plan_members.ts";
import { readMessages, ReplicaLinks } from "./replica_links.ts";
import type { Watch, WatchAnswer } from "./watch.ts";

const decisionMilliseconds = 50;
/** While no leader is known, everybody is greeted this often. */
const greetMilliseconds = 300;
/** A known leader is greeted this often. */
const greetLeaderMilliseconds = 1000;
/** Longer syncs are answered by a call of their own, so that heartbeats pass. */
const answerMilliseconds = 25;
const greetTimeoutMilliseconds = 500;
/** Targets and operators give up after a second, the wait for a leader included. */
const relayTimeoutMilliseconds = 450;
const leaderWaitMilliseconds = 450;
const leaderPollMilliseconds = 25;
/** Longest time that a gateway's question is held without news. */
const watchHoldMilliseconds = 900;
/**
 * Time in which the voters that make an acknowledgement durable are gathered;
 * after it a smaller fleet is taken for whole.
 */
const gatherMilliseconds = 5000;
const handOverMilliseconds = 1000;
/** A disk that is full or stalled is not better at once. */
const restartPauseMilliseconds = 1000;
const largestCallBytes = 16 * 1024 * 1024;

/** Options of {@link ControlVm.start}. */
export interface ControlVmOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly folder: string;
  /** Where targets and operators reach this VM, as IP:PORT. */
  readonly controlAddress: string;
  /** Where the other VMs reach this VM, as IP:PORT. */
  readonly peerAddress: string;
  /** Control addresses by which the other control VMs are found. */
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly mayFound: boolean;
  /** Data folders that may be lost at one time. */
  readonly toleratedLosses: number;
  readonly heartbeatMilliseconds: number;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly secret: string;
  readonly wire: ControlWire;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when the data folder fails; the VM has stopped deciding by then. */
  readonly onFailure: (failure: unknown) => void;
}

/** A VM that keeps the fleet's state, and leads it while it is elected. */
export class ControlVm {
  readonly #options: ControlVmOptions;
  readonly #calls: PeerCalls;
  readonly #members: Members;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #listeners: HttpListener[] = [];
  #replica!: ControlReplica;
  #links: ReplicaLinks | undefined;
  #session: LeaderSession | undefined;
  #seeds: readonly string[];
  #founding = false;
  #greetedAt = -Infinity;
  #leader: string | null = null;

  protected constructor(options: ControlVmOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    this.#calls = new PeerCalls({ secret: options.secret });
    this.#members = new Members(options.peerAddress);
  }

  /**
   * Opens the data folder and the listeners.
   *
   * @throws {StorageError} when the data folder cannot be used.
   * @throws {ListenError} when an address cannot be used.
   */
  static async start(options: ControlVmOptions): Promise<ControlVm> {
    const vm = new ControlVm(options);
    const { folder, peerAddress, clock, logger } = options;
    vm.#replica = await ControlReplica.open({
      folder,
      peerAddress,
      clock,
      send: (message) => vm.#links?.send(message),
      onChange: () => vm.#noteChange(),
      onFailure: (failure) => {
        logger.error("replica-stopped", { reason: describeFailure(failure) });
        setTimeout(() => options.onFailure(failure), restartPauseMilliseconds);
      },
    });
    vm.#links = new ReplicaLinks({
      calls: vm.#calls,
      self: vm.#replica.id,
      onAnswer: (messages) => vm.#receive(messages),
    });
    await vm.#listen();
    vm.#timers.push(
      setInterval(() => vm.#decide(), decisionMilliseconds),
      setInterval(() => void vm.#greetAll(), greetMilliseconds),
    );
    void vm.#greetAll();
    logger.info("control-started", {
      replica: vm.#replica.id,
      isUsed: vm.#replica.running !== undefined,
    });
    return vm;
  }

  /** Takes over other seeds. */
  useSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Hands the lead over, ends the calls in progress and stops. */
  async stop(): Promise<void> {
    this.#options.logger.info("control-stopping");
    await this.#replica.running?.handOver(handOverMilliseconds);
    for (const timer of this.#timers) clearInterval(timer);
    this.#session?.end();
    await Promise.race([
      Promise.all(this.#listeners.map((each) => each.close())),
      pause(handOverMilliseconds),
    ]);
    await this.#replica.stop();
    for (const listener of this.#listeners) listener.destroy();
    this.#calls.close();
    this.#options.logger.info("control-stopped");
  }

  async #listen(): Promise<void> {
    const { controlAddress, peerAddress, secret } = this.#options;
    const services = new LeanServices({ secret });
    services.service(Replication, {
      deliver: async ({ from, messages }) => ({
        messages: await this.#links!.answer(from, () => {
          this.#receive(readMessages(messages));
          return this.#replica.running?.untilSynced(answerMilliseconds);
        }),
      }),
    });
    services.service(Fleet, {
      greet: ({ greeting }) => {
        this.#members.note(
          decodeValue<Greeting>(greeting),
          this.#options.clock.now(),
        );
        return Promise.resolve({ greeting: encodeValue(this.#greeting) });
      },
      watch: async ({ watch }) => ({
        answer: encodeValue(await this.#watch(decodeValue<Watch>(watch))),
      }),
      relay: async ({ call }) => ({
        result: encodeValue(
          await this.#serve(decodeValue<OutsideRequest>(call)),
        ),
      }),
    });
    this.#listeners.push(
      await HttpListener.open({
        name: "peers",
        address: peerAddress,
        handler: (request, response) => {
          if (services.handle(request, response)) return;
          response.writeHead(404).end();
        },
      }),
      await HttpListener.open({
        name: "control",
        address: controlAddress,
        handler: (request, response) =>
          void this.#handleOutside(request, response),
      }),
    );
  }

  #receive(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) this.#replica.running?.receive(message);
  }

  async #handleOutside(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { wire, logger } = this.#options;
    let answer: OutsideAnswer;
    try {
      const call: OutsideRequest = {
        method: request.method ?? "",
        path: request.url ?? "",
        body: await readBody(request, largestCallBytes),
      };
      await this.#untilLeader();
      answer = this.#isLeading
        ? await this.#serve(call)
        : await this.#relay(call);
    } catch (failure) {
      const reason = describeFailure(failure);
      logger.warn("call-failed", { path: request.url ?? "", reason });
      answer = wire.encode({ kind: "unavailable", reason });
    }
    if (response.destroyed) return;
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
  }

  // A caller that is sent away comes back later than an election takes.
  async #untilLeader(): Promise<void> {
    const { clock, peerAddress } = this.#options;
    const until = clock.now() + leaderWaitMilliseconds;
    while (clock.now() < until) {
      const leader = this.#leaderAddress;
      if (this.#isLeading || (leader !== null && leader !== peerAddress)) {
        return;
      }
      await pause(leaderPollMilliseconds);
    }
  }

  async #relay(call: OutsideRequest): Promise<OutsideAnswer> {
    const { wire, peerAddress } = this.#options;
    const leader = this.#leaderAddress;
    if (leader === null || leader === peerAddress) {
      return wire.encode({ kind: "unavailable", reason: "no leader is known" });
    }
    const { result } = await this.#calls.client(leader, Fleet).relay(
      { call: encodeValue(call) },
      { timeoutMs: relayTimeoutMilliseconds },
    );
    return decodeValue<OutsideAnswer>(result);
  }

  async #serve(request: OutsideRequest): Promise<OutsideAnswer> {
    const { wire, logger } = this.#options;
    const call = wire.decode(request);
    if (call.kind === "unreadable") {
      logger.warn("call-unreadable", {
        path: request.path,
        faults: call.faults.join("; "),
      });
    }
    return wire.encode(await this.#result(call));
  }

  async #result(
    call: ReturnType<ControlWire["decode"]>,
  ): Promise<OutsideResult> {
    if (call.kind === "unreadable") {
      return { kind: "refused", faults: call.faults };
    }
    if (call.kind === "unknown") return { kind: "unknown" };
    const { logger } = this.#options;
    const session = this.#session;
    const replica = this.#replica.running;
    if (!session || !replica || !this.#isLeading) {
      return { kind: "unavailable", reason: "this VM does not lead" };
    }
    try {
      switch (call.kind) {
        case "announce": {
          const answer = await session.announce(call.announcement);
          return answer === null
            ? { kind: "unavailable", reason: "the quorum does not answer" }
            : { kind: "announced", answer };
        }
        case "leave":
          await session.leave(call.target, call.bornAt);
          return { kind: "acknowledged" };
        case "readItems":
          return await this.#readItems(replica);
        case "changeItems": {
          if (!this.#isDurable(replica)) return gathering;
          const { change } = call;
          const outcome = await replica.propose({
            kind: "changeItems",
            change,
          });
          logger.info("items-changed", {
            items: change.items.length,
            removals: change.removals.length,
            outcome: outcome.kind,
            index: replica.appliedIndex,
          });
          return this.#resultOf(outcome);
        }
        case "evacuate": {
          if (!this.#isDurable(replica)) return gathering;
          const { dataCentre, isOut } = call;
          const outcome = await session.evacuate(dataCentre, isOut);
          logger.info("data-centre-changed", {
            of: dataCentre,
            isOut,
            index: replica.appliedIndex,
          });
          return this.#resultOf(outcome);
        }
      }
    } catch (failure) {
      if (!(failure instanceof NotLeaderError)) throw failure;
      return { kind: "unavailable", reason: failure.message };
    }
  }

  #resultOf(outcome: FleetOutcome): OutsideResult {
    const { logger } = this.#options;
    this.#session?.noteChange();
    if (outcome.kind === "refused") {
      logger.warn("change-refused", { faults: outcome.faults.join("; ") });
      return outcome;
    }
    return { kind: "acknowledged" };
  }

  async #readItems(replica: FleetReplica): Promise<OutsideResult> {
    if (!await replica.confirmLeadership(relayTimeoutMilliseconds)) {
      return { kind: "unavailable", reason: "the quorum does not answer" };
    }
    return {
      kind: "items",
      items: [...replica.state.items.values()].filter(({ content }) =>
        content !== null
      ),
    };
  }

  async #watch(watch: Watch): Promise<WatchAnswer> {
    const session = this.#session;
    if (!session || !this.#isLeading) return this.#elsewhere;
    const delta = await session.watch(watch, watchHoldMilliseconds);
    return this.#session === session && this.#isLeading
      ? { kind: "news", delta }
      : this.#elsewhere;
  }

  get #elsewhere(): WatchAnswer {
    const leader = this.#leaderAddress;
    return {
      kind: "elsewhere",
      leader: leader === this.#options.peerAddress ? null : leader,
    };
  }

  get #isLeading(): boolean {
    return this.#replica.running?.isReadyLeader === true;
  }

  get #leaderAddress(): string | null {
    const leader = this.#replica.running?.leader ?? null;
    return leader === null ? null : vmOfReplica(leader);
  }

  // As many data folders as may be lost, and one more, must hold what is
  // acknowledged; a majority of this many voters does.
  #isDurable(replica: FleetReplica): boolean {
    const { clock, toleratedLosses } = this.#options;
    const { consensus } = replica;
    return configurationOf(consensus).voters.length >= this.#wantedVoters ||
      toleratedLosses === 0 ||
      clock.now() - consensus.leadingSince > gatherMilliseconds;
  }

  get #wantedVoters(): number {
    return this.#options.toleratedLosses * 2 + 1;
  }

  get #greeting(): Greeting {
    const { controlAddress, peerAddress, dataCentre, region, clock } =
      this.#options;
    return {
      replica: this.#replica.id,
      controlAddress,
      peerAddress,
      dataCentre,
      region,
      isMember: this.#replica.running !== undefined,
      founders: this.#replica.founders,
      known: this.#members.present(clock.now()).map((each) => each.peerAddress),
    };
  }

  #noteChange(): void {
    const leader = this.#leaderAddress;
    if (leader !== this.#leader) {
      this.#options.logger.info("leader-changed", {
        leader,
        before: this.#leader,
        term: this.#replica.running?.consensus.term ?? 0,
      });
      this.#leader = leader;
    }
    this.#followRole();
    this.#session?.noteChange();
  }

  #followRole(): void {
    const replica = this.#replica.running;
    const session = this.#session;
    const leads = this.#isLeading;
    if (session && (!leads || session.term !== replica!.consensus.term)) {
      if (leads || replica?.consensus.role !== "leader") {
        this.#options.logger.info("lead-lost", { term: session.term });
        this.#session = undefined;
        session.end();
      }
    }
    if (leads && replica && !this.#session) this.#startSession(replica);
  }

  #startSession(replica: FleetReplica): void {
    const { clock, logger, heartbeatMilliseconds, controlAddress, regions } =
      this.#options;
    this.#session = new LeaderSession({
      replica,
      clock,
      logger,
      heartbeatMilliseconds,
      controlAddress,
      regionOf: (dataCentre) => regions[dataCentre] ?? "",
      controlAddresses: () => [
        this.#options.peerAddress,
        ...this.#members.present(clock.now()).map((each) => each.peerAddress),
      ],
    });
    logger.info("lead-taken", {
      term: this.#session.term,
      voters: configurationOf(replica.consensus).voters.join(","),
    });
  }

  #decide(): void {
    this.#followRole();
    this.#tryFounding();
    const replica = this.#replica.running;
    if (!replica || !this.#isLeading) return;
    const { clock, logger } = this.#options;
    const next = planMembers({
      consensus: replica.consensus,
      greetings: [
        { greeting: this.#greeting, heardAt: clock.now() },
        ...this.#members.heard,
      ],
      voters: this.#wantedVoters,
      now: clock.now(),
    });
    if (next) {
      logger.info("replica-set-changes", {
        voters: next.voters.join(","),
        learners: next.learners.join(","),
      });
      replica.proposeConfiguration(next);
    }
    this.#session?.tick();
  }

  #tryFounding(): void {
    if (this.#replica.running || this.#founding) return;
    const step = chooseFoundingStep({
      mayFound: this.#options.mayFound,
      self: this.#greeting,
      founders: this.#seedPeers,
      greetings: this.#members.greetings,
    });
    if (step.kind === "wait") return;
    if (step.kind === "spare") {
      this.#options.logger.info("spare-started", { replica: this.#replica.id });
      return this.#replica.start();
    }
    this.#founding = true;
    this.#options.logger.info("founding-begun", {
      founders: step.founders.join(","),
    });
    this.#replica.found(step.founders).catch(this.#options.onFailure);
  }

  /** Peer addresses of the seeds: their IPs, with this VM's peer port. */
  get #seedPeers(): readonly string[] {
    const { peerAddress } = this.#options;
    return this.#seeds.map((seed) => peerAddressOf(seed, peerAddress));
  }

  // A leader learns of the others by their greetings, and tells them of all.
  async #greetAll(): Promise<void> {
    const { clock, peerAddress } = this.#options;
    const leader = this.#leaderAddress;
    if (leader === peerAddress) return;
    if (leader !== null) {
      if (clock.now() - this.#greetedAt < greetLeaderMilliseconds) return;
      this.#greetedAt = clock.now();
      return await this.#greet(leader);
    }
    const addresses = new Set([
      ...this.#seedPeers,
      ...this.#members.addresses(clock.now()),
    ]);
    addresses.delete(peerAddress);
    await Promise.all([...addresses].map((address) => this.#greet(address)));
  }

  async #greet(address: string): Promise<void> {
    const { clock } = this.#options;
    try {
      const { greeting } = await this.#calls.client(address, Fleet).greet(
        { greeting: encodeValue(this.#greeting) },
        { timeoutMs: greetTimeoutMilliseconds },
      );
      this.#members.note(decodeValue<Greeting>(greeting), clock.now());
    } catch {
      // Greeted again soon; what follows from its silence is logged there.
    }
  }
}

/** The peer address of a VM known by another port, as ports are the same everywhere. */
export function peerAddressOf(address: string, peerAddress: string): string {
  const host = address.slice(0, address.lastIndexOf(":"));
  return `${host}${peerAddress.slice(peerAddress.lastIndexOf(":"))}`;
}

const gathering: OutsideResult = {
  kind: "unavailable",
  reason: "not enough replicas are there yet to keep a change",
};
