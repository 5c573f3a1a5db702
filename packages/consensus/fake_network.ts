import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakeReplica } from "./fake_replica.ts";
import { holdsLeaderLease, isCaughtUp } from "./leader.ts";
import { configurationOf, termAt } from "./log.ts";
import { emptySnapshot } from "./machine.ts";
import { planVoters } from "./plan_voters.ts";
import { Role } from "./types.ts";
import type { ConsensusMessage, LogEntry, ReplicaId } from "./types.ts";

const stepMilliseconds = 5;
const lostAfterMilliseconds = 2000;
const regions = ["north", "south", "west"];

/** Options of a {@link FakeNetwork}. */
export interface FakeNetworkOptions {
  readonly seed: number;
  /** @default 3 */
  readonly voters?: number;
  /** @default 2 */
  readonly standbys?: number;
}

interface MessageInFlight {
  readonly message: ConsensusMessage;
  readonly arrivesAt: number;
}

/**
 * A simulation in virtual time of replicas with disks that keep only synced
 * data, on links that can delay, drop or block messages. It throws as soon as
 * two replicas lead in the same term or hold a leader lease at the same time, or
 * a committed entry differs between two replicas.
 */
export class FakeNetwork {
  readonly replicas: FakeReplica[] = [];
  readonly #random;
  readonly #voters: number;
  readonly #committedContentByIndex = new Map<number, string>();
  readonly #leaderByTerm = new Map<number, ReplicaId>();
  readonly #blocked = new Set<string>();
  #inFlight: MessageInFlight[] = [];
  #now = 0;
  #lastProposal = 0;
  /** Percentage of messages that are lost. */
  lossPercent = 0;
  /** Whether clients propose commands. */
  isProposing = true;
  /** Number of entries sent, including retransmissions. */
  entriesSent = 0;
  /** Number of commands that were acknowledged to their proposer. */
  acknowledgedCommands = 0;

  constructor(options: FakeNetworkOptions) {
    const { seed, voters = 3, standbys = 2 } = options;
    this.#random = xoroshiro128plus(seed);
    this.#voters = voters;
    const initialVoters = Array.from(
      { length: voters },
      (_, at) => `vm-${at}.0`,
    );
    for (let at = 0; at < voters + standbys; at += 1) {
      const configuration = {
        voters: at < voters ? initialVoters : [],
        learners: [],
      };
      this.replicas.push(
        new FakeReplica({
          vm: `vm-${at}`,
          region: regions[at % regions.length]!,
          snapshot: emptySnapshot(configuration),
          network: this,
        }),
      );
    }
  }

  /** Virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** The running leader with the highest term, if any. */
  get leader(): FakeReplica | undefined {
    return this.replicas
      .filter((each) => each.isRunning && each.state.role === Role.leader)
      .sort((left, right) => right.state.term - left.state.term)[0];
  }

  /** Returns a random integer from 0 to `bound`, exclusive. */
  randomBelow(bound: number): number {
    return uniformInt(this.#random, 0, bound - 1);
  }

  /** Returns a random running voter, or any replica if no voter is running. */
  randomVoter(): FakeReplica {
    const voters = this.replicas.filter((each) => each.isVoter);
    const candidates = voters.length > 0 ? voters : this.replicas;
    return candidates[this.randomBelow(candidates.length)]!;
  }

  /** Blocks the link from one VM to another, in that direction only. */
  block(from: FakeReplica, to: FakeReplica): void {
    this.#blocked.add(`${from.vm}>${to.vm}`);
  }

  /** Blocks all links of a VM in both directions. */
  isolate(replica: FakeReplica): void {
    for (const other of this.replicas) {
      this.block(replica, other);
      this.block(other, replica);
    }
  }

  /** Unblocks every link and stops message loss. */
  restoreLinks(): void {
    this.#blocked.clear();
    this.lossPercent = 0;
  }

  /** Advances virtual time; each leader receives a proposal every 25 ms. */
  run(milliseconds: number): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += stepMilliseconds;
      this.#deliver();
      for (const replica of this.replicas) replica.advance();
      if (this.isProposing && this.#now % 25 === 0) this.#propose();
      if (this.#now % 100 === 0) this.#repairReplicaSet();
      this.#checkSingleLeader();
    }
  }

  /** Advances virtual time until a condition holds; returns whether it does. */
  runUntil(condition: () => boolean, milliseconds: number): boolean {
    const until = this.#now + milliseconds;
    while (this.#now < until && !condition()) this.run(stepMilliseconds);
    return condition();
  }

  /** Sends a message over its link; links deliver in order. */
  send(message: ConsensusMessage): void {
    if (message.kind === "appendRequest") {
      this.entriesSent += message.entries.length;
    }
    if (this.randomBelow(100) < this.lossPercent) return;
    const previousOnLink = this.#inFlight.findLast((each) =>
      each.message.from === message.from && each.message.to === message.to
    );
    const arrivesAt = this.#now + stepMilliseconds + this.randomBelow(15);
    this.#inFlight.push({
      message,
      arrivesAt: Math.max(arrivesAt, previousOnLink?.arrivesAt ?? 0),
    });
  }

  /** Records the leader of a term; throws if the term has another leader. */
  recordLeader(replica: ReplicaId, term: number): void {
    const known = this.#leaderByTerm.get(term);
    if (known !== undefined && known !== replica) {
      throw new Error(`${known} and ${replica} both lead in term ${term}`);
    }
    this.#leaderByTerm.set(term, replica);
  }

  /** Records a committed entry; throws if it differs from an earlier one. */
  recordCommitted(entry: LogEntry): void {
    this.recordContent(entry.index, `${entry.term}:${entry.payload}`);
  }

  /** Records the content at an index; throws if it differs from before. */
  recordContent(index: number, content: string): void {
    const known = this.#committedContentByIndex.get(index);
    if (known !== undefined && known !== content) {
      throw new Error(
        `committed entry ${index} changed from ${known} to ${content}`,
      );
    }
    this.#committedContentByIndex.set(index, content);
  }

  #deliver(): void {
    const due = this.#inFlight.filter((each) => each.arrivesAt <= this.#now);
    this.#inFlight = this.#inFlight.filter((each) =>
      each.arrivesAt > this.#now
    );
    for (const { message } of due) {
      const from = message.from.slice(0, message.from.indexOf("."));
      const receiver = this.replicas.find((each) => each.id === message.to);
      if (!receiver || this.#blocked.has(`${from}>${receiver.vm}`)) continue;
      receiver.post({ kind: "received", message });
    }
  }

  #propose(): void {
    for (const replica of this.replicas) {
      if (!replica.isRunning || replica.state.role !== Role.leader) continue;
      const proposal = ++this.#lastProposal;
      const payload = new Uint8Array([proposal >> 8, proposal & 0xff]);
      replica.post({ kind: "propose", payload, proposal });
    }
  }

  #repairReplicaSet(): void {
    const leader = this.leader;
    if (!leader || !leader.isRunning) return;
    const { state } = leader;
    const statuses = this.replicas.map((each) => ({
      replica: each.id,
      region: each.region,
      dataCentre: each.region,
      isAvailable: each.isRunning,
      isLost: this.#now -
          Math.max(
            state.progress.get(each.id)?.answeredAt ?? -Infinity,
            state.leadingSince,
          ) > lostAfterMilliseconds,
      isCaughtUp: isCaughtUp(state, each.id, this.#now),
    }));
    const configuration = planVoters({
      configuration: configurationOf(state),
      self: leader.id,
      voters: this.#voters,
      statuses: statuses.map((each) => ({
        ...each,
        isLost: each.isLost && state.progress.has(each.replica),
      })),
    });
    if (configuration) {
      leader.post({ kind: "proposeConfiguration", configuration });
    }
  }

  #checkSingleLeader(): void {
    const leaders = this.replicas.filter((each) =>
      each.isRunning && !each.isPaused &&
      holdsLeaderLease(each.state, this.#now) &&
      termAt(each.state, each.state.commitIndex) === each.state.term
    );
    if (leaders.length > 1) {
      throw new Error(
        `${
          leaders.map((each) => each.id).join(" and ")
        } hold a leader lease at ${this.#now} ms`,
      );
    }
  }
}
