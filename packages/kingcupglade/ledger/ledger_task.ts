import { LedgerShard, regionOfClaim } from "@kingcupglade/ledger";
import type {
  Claim,
  ClaimRecord,
  LedgerBatch,
  LedgerUpdate,
  ShardRole,
} from "@kingcupglade/ledger";
import { roleId, RoleKind, roleShards } from "@kingcupglade/ownership";
import type { RoleAssignment, RoutingTable } from "@kingcupglade/ownership";
import { decodeValue, encodeValue, Ledger } from "@kingcupglade/protocol";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { PeerDirectory } from "../control/peers.ts";
import type { RoutingTask } from "../control/routing_task.ts";
import type { ServiceRegistry } from "@kingcupglade/transport";
import { ShardReplicator } from "./shard_replicator.ts";
import { StandbyChannel } from "./standby_channel.ts";

/** Time for which the outcome of a claimed request is kept. */
export const defaultRetentionMilliseconds = 300_000;

const replicateTimeoutMilliseconds = 400;
const settleTimeoutMilliseconds = 1000;
const synchronisationPollIntervalMilliseconds = 20;
const watchIntervalMilliseconds = 1000;

/** Options of a {@link LedgerTask}. */
export interface LedgerTaskOptions {
  readonly vm: { readonly name: string; readonly boot: string };
  readonly routing: RoutingTask;
  readonly peers: PeerDirectory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** @default defaultRetentionMilliseconds */
  readonly retentionMilliseconds?: number;
}

/** A shard that this VM holds. */
export interface HeldShard {
  readonly shard: LedgerShard;
  readonly replicator: ShardReplicator;
}

interface LocalShard {
  readonly shard: LedgerShard;
  replicator: ShardReplicator | undefined;
}

/** Maintains this VM's copies of ledger shards as assigned by control. */
export class LedgerTask {
  readonly #options: LedgerTaskOptions;
  readonly #shards = new Map<string, LocalShard>();
  readonly #channels = new Map<string, StandbyChannel>();
  #table: RoutingTable | undefined;
  #isStopped = false;

  constructor(options: LedgerTaskOptions) {
    this.#options = options;
    void this.#watch();
  }

  /**
   * Returns the assignment of the shard that stores a claim; null if no shard
   * does.
   */
  roleOf(claim: Claim, homeRegions: readonly string[]): RoleAssignment | null {
    const region = regionOfClaim(claim, homeRegions);
    if (region === undefined) return null;
    const id = roleId({
      kind: RoleKind.ledger,
      region,
      shard: claim.hash % roleShards.ledger,
    });
    return this.#options.routing.table.roles.get(id) ?? null;
  }

  /** Whether this VM is the holder of an assignment. */
  isHolder(role: RoleAssignment): boolean {
    const { name, boot } = this.#options.vm;
    return role.holder === name && role.holderBoot === boot;
  }

  /** Returns the shard if this VM may decide claims: holds it, with a lease. */
  held(role: RoleAssignment): HeldShard | null {
    return this.#options.routing.hasLease
      ? this.heldEvenWithoutLease(role)
      : null;
  }

  /** Returns the shard if this VM holds it according to its routing table. */
  heldEvenWithoutLease(role: RoleAssignment): HeldShard | null {
    this.#refresh();
    const local = this.#shards.get(roleId(role));
    const replicator = local?.replicator;
    return local && replicator ? { shard: local.shard, replicator } : null;
  }

  /**
   * Reports to the current holder the outcome of a request that this VM ran.
   */
  async settleAtHolder(
    role: RoleAssignment,
    claim: Claim,
    record: ClaimRecord,
  ): Promise<void> {
    const { routing, peers, logger } = this.#options;
    const current = routing.table.roles.get(roleId(role));
    if (!current || this.isHolder(current)) return;
    const { holder, region, shard } = current;
    try {
      await peers.client(holder ?? "", Ledger)?.settle({
        region,
        shard,
        claim: claim.id,
        record: encodeValue(record),
      }, { timeoutMs: settleTimeoutMilliseconds });
    } catch (failure) {
      logger.debug("settling-failed", { reason: describeFailure(failure) });
    }
  }

  /** IDs of the claims in every copy on this VM, as holder or standby. */
  get storedClaims(): readonly string[] {
    return [...this.#shards.values()].flatMap(({ shard }) => shard.claims);
  }

  /** Waits until every shard held here has a complete copy on its standby. */
  async untilSynchronised(timeoutMilliseconds: number): Promise<void> {
    const until = this.#now + timeoutMilliseconds;
    while (this.#now < until && !this.#isSynchronised) {
      await this.#options.routing.waitForRenewal(
        synchronisationPollIntervalMilliseconds,
      );
    }
  }

  /** Registers the service that other VMs call. */
  addService(registry: ServiceRegistry): void {
    registry.service(Ledger, {
      replicate: ({ batches }) => ({
        accepted: batches.map(({ region, shard, batch }) =>
          this.#receive(
            roleId({ kind: RoleKind.ledger, region, shard }),
            decodeValue(batch),
          )
        ),
      }),
      settle: ({ region, shard, claim, record }) => ({
        accepted: this.#settleLate(
          roleId({ kind: RoleKind.ledger, region, shard }),
          claim,
          decodeValue(record),
        ),
      }),
    });
  }

  /** Stops the task and the replication of shards held here. */
  stop(): void {
    this.#isStopped = true;
    for (const { replicator } of this.#shards.values()) replicator?.stop();
  }

  async #watch(): Promise<void> {
    while (!this.#isStopped) {
      this.#refresh();
      this.#updateMetrics();
      await this.#options.routing.waitForRenewal(watchIntervalMilliseconds);
    }
  }

  /** Applies the assignments of the current table. */
  #refresh(): void {
    const { table } = this.#options.routing;
    if (table === this.#table || this.#isStopped) return;
    this.#table = table;
    for (const [id, role] of table.roles) {
      if (role.kind === RoleKind.ledger) this.#assign(id, role);
    }
  }

  #assign(id: string, role: RoleAssignment): void {
    const part = this.#partOf(role);
    if (part === "none" && !this.#shards.has(id)) return;
    const local = this.#localShard(id);
    const { epoch, foundedAt } = role;
    if (epoch <= local.shard.role.epoch) return;
    local.replicator?.stop();
    local.replicator = undefined;
    const since = part === "holder" ? role.holderSince : role.standbySince;
    local.shard.assign({ part, epoch, since, foundedAt }, this.#now);
    if (part === "holder") {
      local.replicator = this.#createReplicator(local.shard, role);
    }
  }

  #partOf(role: RoleAssignment): ShardRole["part"] {
    const { name, boot } = this.#options.vm;
    if (this.isHolder(role)) return "holder";
    return role.standby === name && role.standbyBoot === boot
      ? "standby"
      : "none";
  }

  #createReplicator(
    shard: LedgerShard,
    role: RoleAssignment,
  ): ShardReplicator {
    const { region, standby } = role;
    const channel = standby === null ? null : this.#channelTo(standby);
    return new ShardReplicator({
      shard,
      clock: this.#options.clock,
      send: channel && ((batch) =>
        channel.send({
          region,
          shard: role.shard,
          batch: encodeValue(batch),
        })),
    });
  }

  #channelTo(standby: string): StandbyChannel {
    const known = this.#channels.get(standby);
    if (known) return known;
    const { peers, metrics } = this.#options;
    const channel = new StandbyChannel({
      send: async (messages) => {
        const client = peers.client(standby, Ledger);
        if (!client) return [];
        metrics.ledgerBatches.inc();
        const response = await client.replicate({ batches: [...messages] }, {
          timeoutMs: replicateTimeoutMilliseconds,
        });
        return response.accepted;
      },
    });
    this.#channels.set(standby, channel);
    return channel;
  }

  #receive(id: string, batch: LedgerBatch): boolean {
    this.#refresh();
    const local = this.#localShard(id);
    const response = local.shard.receive(batch, this.#now);
    if (response.kind === "accepted" && local.replicator) {
      local.replicator.stop();
      local.replicator = undefined;
    }
    return response.kind === "accepted";
  }

  #settleLate(
    id: string,
    claim: string,
    record: ClaimRecord,
  ): boolean {
    this.#refresh();
    const local = this.#shards.get(id);
    if (!local?.replicator || record.state === "open") return false;
    const update: LedgerUpdate | null = local.shard.settleLate(
      claim,
      record,
      this.#now,
    );
    if (update) void local.replicator.record(update);
    return update !== null;
  }

  #localShard(id: string): LocalShard {
    const known = this.#shards.get(id);
    if (known) return known;
    const { retentionMilliseconds = defaultRetentionMilliseconds } =
      this.#options;
    const local = {
      shard: new LedgerShard({ retentionMilliseconds }),
      replicator: undefined,
    };
    this.#shards.set(id, local);
    return local;
  }

  #updateMetrics(): void {
    const { metrics } = this.#options;
    let records = 0;
    let bytes = 0;
    for (const { shard } of this.#shards.values()) {
      shard.expire(this.#now);
      records += shard.size;
      bytes += shard.bytes;
    }
    metrics.ledgerRecords.set(records);
    metrics.ledgerBytes.set(bytes);
  }

  get #isSynchronised(): boolean {
    this.#refresh();
    return [...this.#shards.values()].every((each) =>
      each.shard.role.part !== "holder" || each.replicator?.isSynchronised
    );
  }

  get #now(): number {
    return this.#options.clock.now();
  }
}
