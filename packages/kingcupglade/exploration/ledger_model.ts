import type { ExplorationModel } from "@kingcupglade/checker";
import { emptyControlState } from "@kingcupglade/ownership";
import {
  applyAssignment,
  assignRoles,
  canClaim,
  commit,
  createVm,
  deliverBatch,
  enqueueUpdate,
  executeRequest,
  register,
  sendNextBatch,
  sendRequest,
  shardOf,
  spendBudget,
  withVm,
} from "./ledger_transitions.ts";
import {
  claimId,
  contentDigest,
  now,
  retentionMilliseconds,
  shardId,
  vmNames,
} from "./ledger_state.ts";
import type {
  LedgerAction,
  LedgerModelState,
  LedgerMutation,
} from "./ledger_state.ts";
import { putVmCommand } from "./range_transitions.ts";
import { startCommands } from "./range_initial_state.ts";

/** Model that runs the real shard and role planner in every order of events. */
export class LedgerModel
  implements ExplorationModel<LedgerModelState, LedgerAction> {
  readonly initial: LedgerModelState;
  readonly #mutation: LedgerMutation | null;

  constructor(
    options: {
      readonly remaining: LedgerModelState["remaining"];
      readonly mutation?: LedgerMutation;
    },
  ) {
    this.#mutation = options.mutation ?? null;
    const control = [
      ...startCommands,
      ...vmNames.map((name) => putVmCommand(name)),
    ].reduce(commit, emptyControlState);
    this.initial = {
      control: assignRoles(control),
      vms: new Map(vmNames.map((name) => [name, createVm(0)])),
      batches: [],
      requests: [],
      executions: 0,
      remaining: options.remaining,
    };
  }

  actions(state: LedgerModelState): readonly LedgerAction[] {
    const { control, vms, remaining } = state;
    const runningVms = vmNames.filter((name) => vms.get(name)!.isRunning);
    const isRegistered = (vm: string) => control.vms.has(vm);
    const hasCurrentAssignment = (vm: string) =>
      shardOf(vms.get(vm)!).role.epoch >= control.roles.get(shardId)!.epoch;
    const actionsFor = (
      kind: "applyAssignment" | "claim" | "crash" | "remove" | "register",
      names: readonly string[],
    ) => names.map((vm) => ({ kind, vm }));
    return [
      ...actionsFor(
        "applyAssignment",
        runningVms.filter((vm) => !hasCurrentAssignment(vm)),
      ),
      ...(remaining.sends > 0
        ? actionsFor("claim", runningVms.filter((vm) => canClaim(vms.get(vm)!)))
        : []),
      ...(remaining.crashes > 0 ? actionsFor("crash", runningVms) : []),
      ...(remaining.removals > 0
        ? actionsFor("remove", vmNames.filter(isRegistered))
        : []),
      ...actionsFor("register", vmNames.filter((vm) => !isRegistered(vm))),
      ...state.batches.map(({ answer }, batch) => ({
        kind: answer === "none"
          ? "deliverBatch" as const
          : "receiveResponse" as const,
        batch,
      })),
      ...state.requests.map((_, request) => ({
        kind: "executeRequest" as const,
        request,
      })),
    ];
  }

  apply(state: LedgerModelState, action: LedgerAction): LedgerModelState {
    switch (action.kind) {
      case "applyAssignment":
        return applyAssignment(state, action.vm);
      case "claim":
        return this.#claim(spendBudget(state, "sends"), action.vm);
      case "deliverBatch":
        return deliverBatch(state, action.batch);
      case "receiveResponse":
        return this.#receiveResponse(state, action.batch);
      case "executeRequest":
        return executeRequest(state, action.request);
      case "crash": {
        const { incarnation } = state.vms.get(action.vm)!;
        return withVm(spendBudget(state, "crashes"), action.vm, {
          ...createVm(incarnation + 1),
          isRunning: false,
        });
      }
      case "remove":
        return {
          ...spendBudget(state, "removals"),
          control: assignRoles(commit(state.control, {
            kind: "removeVm",
            name: action.vm,
            boot: state.control.vms.get(action.vm)!.boot,
          })),
        };
      case "register":
        return register(state, action.vm);
    }
  }

  fingerprint(state: LedgerModelState): string {
    return JSON.stringify([
      state.control.roles.get(shardId),
      [...state.control.vms.values()].map(({ name, boot }) => [name, boot]),
      [...state.vms.values()],
      state.batches,
      state.requests,
      state.executions,
      state.remaining,
    ]);
  }

  findViolation(state: LedgerModelState): string | null {
    return state.executions > 1
      ? `the request took effect ${state.executions} times`
      : null;
  }

  #claim(state: LedgerModelState, name: string): LedgerModelState {
    const vm = state.vms.get(name)!;
    const shard = shardOf(vm);
    // After the retention time a shard accepts claims despite an earlier loss.
    const isLossIgnored = this.#mutation === "ignoresLoss" && shard.size === 0;
    const decision = shard.claim(
      claimId,
      contentDigest,
      isLossIgnored ? now + retentionMilliseconds : now,
    );
    if (decision.kind !== "run") return state;
    const claimed = withVm(state, name, {
      ...vm,
      events: [...vm.events, { kind: "claim" }],
    });
    const recorded = enqueueUpdate(claimed, name, {
      update: decision.update,
      purpose: "claim",
    });
    return this.#mutation === "sendsBeforeReplication" ||
        vm.replicator!.standby === null
      ? sendRequest(recorded, name)
      : recorded;
  }

  #receiveResponse(state: LedgerModelState, index: number): LedgerModelState {
    const sent = state.batches[index]!;
    const rest = {
      ...state,
      batches: state.batches.filter((each) => each !== sent),
    };
    const vm = state.vms.get(sent.from)!;
    const { replicator } = vm;
    const isStale = vm.incarnation !== sent.incarnation ||
      replicator?.epoch !== sent.batch.epoch ||
      replicator.sequence !== sent.batch.sequence;
    if (isStale || !replicator) return rest;
    if (sent.answer === "refused") {
      return rest.remaining.resends > 0
        ? sendNextBatch(spendBudget(rest, "resends"), sent.from)
        : rest;
    }
    const next = sendNextBatch(
      withVm(rest, sent.from, {
        ...vm,
        replicator: {
          ...replicator,
          sequence: replicator.sequence + 1,
          isSynchronised: true,
          pendingUpdates: replicator.pendingUpdates.slice(1),
        },
      }),
      sent.from,
    );
    const sendsRequest = sent.purpose === "claim" &&
      this.#mutation !== "sendsBeforeReplication";
    return sendsRequest ? sendRequest(next, sent.from) : next;
  }
}
