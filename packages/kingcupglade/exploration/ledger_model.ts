import type { ExplorationModel } from "@kingcupglade/checker";
import { emptyControlState } from "@kingcupglade/ownership";
import {
  arrive,
  assignRoles,
  commit,
  deliver,
  freshVm,
  isReady,
  learn,
  leave,
  record,
  register,
  sendNext,
  shardOf,
  spend,
  withVm,
} from "./ledger_moves.ts";
import {
  claim,
  content,
  now,
  retentionMilliseconds,
  shardId,
  vmNames,
} from "./ledger_world.ts";
import type {
  LedgerAction,
  LedgerMutation,
  LedgerWorld,
} from "./ledger_world.ts";
import { putVm } from "./range_moves.ts";
import { startCommands } from "./range_start.ts";

/** The real shard and role planner in every order of losses and messages. */
export class LedgerModel
  implements ExplorationModel<LedgerWorld, LedgerAction> {
  readonly initial: LedgerWorld;
  readonly #mutation: LedgerMutation | null;

  constructor(
    options: {
      readonly remaining: LedgerWorld["remaining"];
      readonly mutation?: LedgerMutation;
    },
  ) {
    this.#mutation = options.mutation ?? null;
    const control = [
      ...startCommands,
      ...vmNames.map((name) => putVm(name)),
    ].reduce(commit, emptyControlState);
    this.initial = {
      control: assignRoles(control),
      vms: new Map(vmNames.map((name) => [name, freshVm(0)])),
      batches: [],
      requests: [],
      effects: 0,
      remaining: options.remaining,
    };
  }

  actions(world: LedgerWorld): readonly LedgerAction[] {
    const { control, vms, remaining } = world;
    const running = vmNames.filter((name) => vms.get(name)!.running);
    const registered = (vm: string) => control.vms.has(vm);
    const knows = (vm: string) =>
      shardOf(vms.get(vm)!).role.epoch >= control.roles.get(shardId)!.epoch;
    const list = (
      kind: "learn" | "ask" | "crash" | "remove" | "register",
      names: readonly string[],
    ) => names.map((vm) => ({ kind, vm }));
    return [
      ...list("learn", running.filter((vm) => !knows(vm))),
      ...(remaining.asks > 0
        ? list("ask", running.filter((vm) => isReady(vms.get(vm)!)))
        : []),
      ...(remaining.crashes > 0 ? list("crash", running) : []),
      ...(remaining.removals > 0
        ? list("remove", vmNames.filter(registered))
        : []),
      ...list("register", vmNames.filter((vm) => !registered(vm))),
      ...world.batches.map(({ answer }, batch) => ({
        kind: answer === "none" ? "deliver" as const : "takeAnswer" as const,
        batch,
      })),
      ...world.requests.map((_, request) => ({
        kind: "arrive" as const,
        request,
      })),
    ];
  }

  apply(world: LedgerWorld, action: LedgerAction): LedgerWorld {
    switch (action.kind) {
      case "learn":
        return learn(world, action.vm);
      case "ask":
        return this.#ask(spend(world, "asks"), action.vm);
      case "deliver":
        return deliver(world, action.batch);
      case "takeAnswer":
        return this.#takeAnswer(world, action.batch);
      case "arrive":
        return arrive(world, action.request);
      case "crash": {
        const { incarnation } = world.vms.get(action.vm)!;
        return withVm(spend(world, "crashes"), action.vm, {
          ...freshVm(incarnation + 1),
          running: false,
        });
      }
      case "remove":
        return {
          ...spend(world, "removals"),
          control: assignRoles(commit(world.control, {
            kind: "removeVm",
            name: action.vm,
            boot: world.control.vms.get(action.vm)!.boot,
          })),
        };
      case "register":
        return register(world, action.vm);
    }
  }

  fingerprint(world: LedgerWorld): string {
    return JSON.stringify([
      world.control.roles.get(shardId),
      [...world.control.vms.values()].map(({ name, boot }) => [name, boot]),
      [...world.vms.values()],
      world.batches,
      world.requests,
      world.effects,
      world.remaining,
    ]);
  }

  check(world: LedgerWorld): string | null {
    return world.effects > 1
      ? `the request took effect ${world.effects} times`
      : null;
  }

  #ask(world: LedgerWorld, name: string): LedgerWorld {
    const vm = world.vms.get(name)!;
    const shard = shardOf(vm);
    const forgets = this.#mutation === "forgetsLoss" && shard.size === 0;
    const decision = shard.claim(
      claim,
      content,
      forgets ? now + retentionMilliseconds : now,
    );
    if (decision.kind !== "run") return world;
    const claimed = withVm(world, name, {
      ...vm,
      events: [...vm.events, { kind: "claim" }],
    });
    const recorded = record(claimed, name, {
      update: decision.update,
      purpose: "claim",
    });
    return this.#mutation === "runsBeforeStandby" ||
        vm.replicator!.standby === null
      ? leave(recorded, name)
      : recorded;
  }

  #takeAnswer(world: LedgerWorld, index: number): LedgerWorld {
    const sent = world.batches[index]!;
    const rest = {
      ...world,
      batches: world.batches.filter((each) => each !== sent),
    };
    const vm = world.vms.get(sent.from)!;
    const { replicator } = vm;
    const isStale = vm.incarnation !== sent.incarnation ||
      replicator?.epoch !== sent.batch.epoch ||
      replicator.sequence !== sent.batch.sequence;
    if (isStale || !replicator) return rest;
    if (sent.answer === "refused") {
      return rest.remaining.resends > 0
        ? sendNext(spend(rest, "resends"), sent.from)
        : rest;
    }
    const next = sendNext(
      withVm(rest, sent.from, {
        ...vm,
        replicator: {
          ...replicator,
          sequence: replicator.sequence + 1,
          isSynchronised: true,
          waiting: replicator.waiting.slice(1),
        },
      }),
      sent.from,
    );
    const leaves = sent.purpose === "claim" &&
      this.#mutation !== "runsBeforeStandby";
    return leaves ? leave(next, sent.from) : next;
  }
}
