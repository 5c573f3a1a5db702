import { Counter, Gauge, Registry } from "prom-client";
import { RequestMetrics } from "./request_series.ts";

/** The metrics of one VM. */
export interface Metrics {
  readonly registry: Registry;
  /** Requests whose callers closed their connections, by stage. */
  readonly callersLeft: Counter<"stage">;
  /** Finished requests and the time from arrival to the end of the response. */
  readonly requests: RequestMetrics;
  /** Refused requests, by reason. */
  readonly refusals: Counter<"reason">;
  /** Pipelined requests that waited for others of their connection, by reason. */
  readonly pipelineWaits: Counter<"reason">;
  /** Connections whose pipelined requests were dropped behind their end. */
  readonly pipelineDiscards: Counter;
  /** Bytes of unread pipelined requests, and of responses that wait for others. */
  readonly pipelineBytes: Gauge;
  /** Requests retried after an attempt that certainly did not run, by reason. */
  readonly retries: Counter<"reason">;
  /** Late idempotent requests sent to a second target. */
  readonly hedges: Counter;
  /** Responses of targets passed on, by the framing received and sent. */
  readonly responses: Counter<"received" | "sent">;
  /** Requests sent to targets that name a limit, by how they were chosen. */
  readonly limitedRequests: Counter<"path">;
  /** Targets that closed a connection, by what is known of them. */
  readonly targetEnds: Counter<"result">;
  /** Decisions on requests whose runs may end targets. */
  readonly suspects: Counter<"decision">;
  /** Responses in which targets say that they leave or pause. */
  readonly targetNotices: Counter<"notice">;
  readonly pacedTargets: Gauge<"chooser">;
  /** Share of the time in which the event loop was busy lately. */
  readonly processorUse: Gauge;
  /** Seconds by which the last timer of the event loop was late. */
  readonly processorWait: Gauge;
  /** Bytes that this VM has counted on its link, by direction and kind. */
  readonly linkBytes: Counter<"direction" | "kind">;
  /** Bytes that wait for the link of this VM. */
  readonly linkQueuedBytes: Gauge;
  /** Exchanges that were ended because they held memory without progress. */
  readonly exchangesLetGo: Counter;
  /** 1 while the link of this VM is full. */
  readonly linkFull: Gauge;
  /** 1 while no target accepts a connection from this VM. */
  readonly cutOff: Gauge;
  /** Requests handed to another gateway because of that, by outcome. */
  readonly relayed: Counter<"outcome">;
  /** Requests taken from gateways without a path to targets, by decision. */
  readonly relayedHere: Counter<"decision">;
  /** Credit messages sent by this VM, by kind. */
  readonly creditMessages: Counter<"kind">;
  /** Bytes of requests and responses over links between regions, by tenant. */
  readonly regionLinkBytes: Counter<"tenant">;
  /** Requests forwarded to another VM, by reason. */
  readonly forwarded: Counter<"reason">;
  /** Batches of ledger changes sent to standbys. */
  readonly ledgerBatches: Counter;
  /** Number of idempotency keys in the ledger of this VM. */
  readonly ledgerRecords: Gauge;
  /** Estimated memory use of the ledger, in bytes. */
  readonly ledgerBytes: Gauge;
  /** Version of the routing table that this VM uses. */
  readonly tableVersion: Gauge;
  /** Seconds since this VM's last contact with the control leader. */
  readonly controlContactAge: Gauge;
  /** Seconds for which this VM may still rely on its table of keys. */
  readonly keyLease: Gauge;
  /** Requests of workspaces with a limit, by decision. */
  readonly quotaDecisions: Counter<"decision">;
  /** Calls for more of the limits that all gateways share, by outcome. */
  readonly quotaCalls: Counter<"outcome">;
  /** Workspaces that this gateway counts. */
  readonly quotaWorkspaces: Gauge;
  /** Number of times that a gateway's items differed from the leader's. */
  readonly tableMismatches: Counter;
  /** Number of times that the routing lease lapsed. */
  readonly leaseLapses: Counter;
  /** Messages from this VM to the control leader, by kind. */
  readonly controlMessages: Counter<"kind">;
  /** Bytes of `controlMessages` and their responses, without headers, by kind. */
  readonly controlBytes: Counter<"kind">;
  /** Range changes committed while this VM was the control leader, by kind. */
  readonly rangeChanges: Counter<"kind">;
  /** 1 while this VM is the control leader. */
  readonly leading: Gauge;
  /** 1 while the replica in this VM's data folder runs. */
  readonly replicaRunning: Gauge;
}

const latencyBucketsSeconds = [
  0.001,
  0.002,
  0.005,
  0.01,
  0.017,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
];

/** Creates the metrics of one VM in a new registry. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new RequestMetrics({
      registry,
      bucketBoundsSeconds: latencyBucketsSeconds,
    }),
    callersLeft: new Counter({
      name: "kingcupglade_callers_left_total",
      help: "Requests whose callers left, by stage",
      labelNames: ["stage"],
      registers,
    }),
    refusals: new Counter({
      name: "kingcupglade_refusals_total",
      help: "Requests refused",
      labelNames: ["reason"],
      registers,
    }),
    pipelineWaits: new Counter({
      name: "kingcupglade_pipeline_waits_total",
      help: "Pipelined requests that waited for others, by reason",
      labelNames: ["reason"],
      registers,
    }),
    pipelineDiscards: new Counter({
      name: "kingcupglade_pipeline_discards_total",
      help: "Connections whose pipelined requests were dropped at their end",
      registers,
    }),
    pipelineBytes: new Gauge({
      name: "kingcupglade_pipeline_bytes",
      help: "Bytes of unread requests and of responses that wait for others",
      registers,
    }),
    retries: new Counter({
      name: "kingcupglade_retries_total",
      help: "Requests sent again because they did not run",
      labelNames: ["reason"],
      registers,
    }),
    hedges: new Counter({
      name: "kingcupglade_hedges_total",
      help: "Late idempotent requests sent to a second target",
      registers,
    }),
    responses: new Counter({
      name: "kingcupglade_responses_total",
      help: "Responses of targets passed on, by framing",
      labelNames: ["received", "sent"],
      registers,
    }),
    limitedRequests: new Counter({
      name: "kingcupglade_limited_requests_total",
      help: "Requests sent to targets that name a limit",
      labelNames: ["path"],
      registers,
    }),
    targetEnds: new Counter({
      name: "kingcupglade_target_ends_total",
      help: "Targets that closed a connection without a response",
      labelNames: ["result"],
      registers,
    }),
    suspects: new Counter({
      name: "kingcupglade_suspects_total",
      help: "Decisions on requests whose runs may end targets",
      labelNames: ["decision"],
      registers,
    }),
    targetNotices: new Counter({
      name: "kingcupglade_target_notices_total",
      help: "Responses in which targets say that they leave or pause",
      labelNames: ["notice"],
      registers,
    }),
    processorUse: new Gauge({
      name: "kingcupglade_processor_use",
      help: "Share of the time in which the event loop was busy lately",
      registers,
    }),
    processorWait: new Gauge({
      name: "kingcupglade_processor_wait_seconds",
      help: "Time by which the last timer of the event loop was late",
      registers,
    }),
    pacedTargets: new Gauge({
      name: "kingcupglade_paced_targets",
      help: "New and recovered targets whose requests in flight are bounded",
      labelNames: ["chooser"],
      registers,
    }),
    linkBytes: new Counter({
      name: "kingcupglade_link_bytes_total",
      help: "Bytes counted on the link of this VM",
      labelNames: ["direction", "kind"],
      registers,
    }),
    linkQueuedBytes: new Gauge({
      name: "kingcupglade_link_queued_bytes",
      help: "Bytes that wait for the link of this VM",
      registers,
    }),
    exchangesLetGo: new Counter({
      name: "kingcupglade_exchanges_let_go_total",
      help: "Exchanges ended because they held memory without progress",
      registers,
    }),
    linkFull: new Gauge({
      name: "kingcupglade_link_full",
      help: "1 while the link of this VM is full",
      registers,
    }),
    cutOff: new Gauge({
      name: "kingcupglade_cut_off",
      help: "1 while no target accepts a connection from this VM",
      registers,
    }),
    relayed: new Counter({
      name: "kingcupglade_relayed_total",
      help: "Requests handed to another gateway, by outcome",
      labelNames: ["outcome"],
      registers,
    }),
    relayedHere: new Counter({
      name: "kingcupglade_relayed_here_total",
      help: "Requests taken from other gateways, by decision",
      labelNames: ["decision"],
      registers,
    }),
    creditMessages: new Counter({
      name: "kingcupglade_credit_messages_total",
      help: "Messages about credits sent to other VMs",
      labelNames: ["kind"],
      registers,
    }),
    regionLinkBytes: new Counter({
      name: "kingcupglade_region_link_bytes_total",
      help: "Bytes of requests and answers over links between regions",
      labelNames: ["tenant"],
      registers,
    }),
    forwarded: new Counter({
      name: "kingcupglade_forwarded_total",
      help: "Requests passed on to another VM",
      labelNames: ["reason"],
      registers,
    }),
    ledgerBatches: new Counter({
      name: "kingcupglade_ledger_batches_total",
      help: "Batches of ledger changes sent to standbys",
      registers,
    }),
    ledgerRecords: new Gauge({
      name: "kingcupglade_ledger_records",
      help: "Idempotency keys whose requests are remembered here",
      registers,
    }),
    ledgerBytes: new Gauge({
      name: "kingcupglade_ledger_bytes",
      help: "Estimated memory of the ledger",
      registers,
    }),
    tableVersion: new Gauge({
      name: "kingcupglade_table_version",
      help: "Table version that this VM routes by",
      registers,
    }),
    keyLease: new Gauge({
      name: "kingcupglade_key_lease_seconds",
      help: "Time for which the VM may rely on its table of keys",
      registers,
    }),
    quotaDecisions: new Counter({
      name: "kingcupglade_quota_decisions_total",
      help: "Requests of workspaces with a limit, by decision",
      labelNames: ["decision"],
      registers,
    }),
    quotaCalls: new Counter({
      name: "kingcupglade_quota_calls_total",
      help: "Calls for more of the limits that gateways share, by outcome",
      labelNames: ["outcome"],
      registers,
    }),
    quotaWorkspaces: new Gauge({
      name: "kingcupglade_quota_workspaces",
      help: "Workspaces with a limit that the VM counts",
      registers,
    }),
    controlContactAge: new Gauge({
      name: "kingcupglade_control_contact_age_seconds",
      help: "Time since the last contact with the control leader",
      registers,
    }),
    tableMismatches: new Counter({
      name: "kingcupglade_table_mismatches_total",
      help:
        "Updates after which the items of a gateway differed from control's",
      registers,
    }),
    leaseLapses: new Counter({
      name: "kingcupglade_lease_lapses_total",
      help: "Times that the routing lease lapsed",
      registers,
    }),
    controlMessages: new Counter({
      name: "kingcupglade_control_messages_total",
      help: "Messages to the control leader",
      labelNames: ["kind"],
      registers,
    }),
    controlBytes: new Counter({
      name: "kingcupglade_control_bytes_total",
      help: "Bytes of messages to the control leader and of their answers",
      labelNames: ["kind"],
      registers,
    }),
    rangeChanges: new Counter({
      name: "kingcupglade_range_changes_total",
      help: "Range changes committed while this VM led control",
      labelNames: ["kind"],
      registers,
    }),
    replicaRunning: new Gauge({
      name: "kingcupglade_replica_running",
      help: "1 while the replica in this VM's data folder runs",
      registers,
    }),
    leading: new Gauge({
      name: "kingcupglade_control_leading",
      help: "1 while this VM leads control",
      registers,
    }),
  };
}
