import { describe, expect, it } from "vitest";
import { playShedding } from "./load_shedder_fixture.ts";
import type {
  SheddingPolicy,
  SheddingScenario,
} from "./load_shedder_fixture.ts";
import { LoadShedder } from "./load_shedder.ts";

const maximumWaitMilliseconds = 25;
/** Prints the figures of docs/design/gateway_load.md. */
const printsFigures = process.env["SHEDDING_FIGURES"] !== undefined;

const request = { priority: 1, overdueMilliseconds: 0 };

function createShedder(): LoadShedder {
  return new LoadShedder({ maximumWaitMilliseconds });
}

/** Records a use of the processor for some time, in ticks of 50 ms. */
function use(
  shedder: LoadShedder,
  { share, lateMilliseconds, milliseconds }: {
    readonly share: number;
    readonly lateMilliseconds: number;
    readonly milliseconds: number;
  },
): void {
  for (let at = 0; at < milliseconds; at += 50) {
    shedder.record({
      busyMilliseconds: 50 * share,
      idleMilliseconds: 50 * (1 - share),
      lateMilliseconds,
    });
  }
}

describe("a load shedder", () => {
  // Guards against refusals by a VM that has room.
  it("admits requests while the processor has room, however late a tick is", () => {
    const shedder = createShedder();
    use(shedder, { share: 0.8, lateMilliseconds: 300, milliseconds: 10_000 });
    expect(shedder.admits(request)).toBe(true);
  });

  // Guards against refusals for a collection of garbage.
  it("admits requests after a single stall", () => {
    const shedder = createShedder();
    use(shedder, { share: 0.4, lateMilliseconds: 0, milliseconds: 5000 });
    shedder.record({
      busyMilliseconds: 300,
      idleMilliseconds: 0,
      lateMilliseconds: 250,
    });
    expect(shedder.admits(request)).toBe(true);
  });

  it("admits requests of a busy processor that is not late", () => {
    const shedder = createShedder();
    use(shedder, { share: 1, lateMilliseconds: 15, milliseconds: 10_000 });
    expect(shedder.admits(request)).toBe(true);
  });

  it("refuses requests that would wait too long", () => {
    const shedder = createShedder();
    use(shedder, { share: 1, lateMilliseconds: 30, milliseconds: 5000 });
    expect(shedder.admits(request)).toBe(false);
  });

  // Guards against a batch of requests that was admitted by what the tick before
  // it showed.
  it("refuses requests behind a tick that is overdue", () => {
    const shedder = createShedder();
    use(shedder, { share: 1, lateMilliseconds: 5, milliseconds: 5000 });
    expect(shedder.admits({ ...request, overdueMilliseconds: 30 })).toBe(
      false,
    );
  });

  // Guards against a VM that stays idle after an overload.
  it("admits requests as soon as ticks are in time", () => {
    const shedder = createShedder();
    use(shedder, { share: 1, lateMilliseconds: 400, milliseconds: 5000 });
    use(shedder, { share: 0.9, lateMilliseconds: 10, milliseconds: 50 });
    expect(shedder.admits(request)).toBe(true);
  });

  // Guards against urgent requests that are refused for less urgent ones.
  it("refuses urgent requests at longer waits", () => {
    const shedder = createShedder();
    use(shedder, { share: 1, lateMilliseconds: 35, milliseconds: 5000 });
    expect(shedder.admits(request)).toBe(false);
    expect(shedder.admits({ ...request, priority: 0 })).toBe(true);
    use(shedder, { share: 1, lateMilliseconds: 45, milliseconds: 50 });
    expect(shedder.admits({ ...request, priority: 0 })).toBe(false);
  });
});

/** Admits everything. */
const none = (): SheddingPolicy => ({ record: () => {}, admits: () => true });

/**
 * Admits a share of the requests that is lowered while the processor is used too
 * much or late, and raised otherwise.
 */
function sharePolicy(random: () => number): SheddingPolicy {
  let average = 0;
  let share = 1;
  return {
    record: ({ busyMilliseconds, idleMilliseconds, lateMilliseconds }) => {
      const elapsed = busyMilliseconds + idleMilliseconds;
      if (elapsed <= 0) return;
      average += (1 - Math.exp(-elapsed / 200)) *
        (busyMilliseconds / elapsed - average);
      const factor = Math.min(0.95 / average, 100 / lateMilliseconds);
      share *= Math.min(Math.max(factor, 0.5), 1.2) ** (elapsed / 100);
      share = Math.min(Math.max(share, 0.05), 1);
    },
    admits: () => random() < share,
  };
}

function shedding(): SheddingPolicy {
  const shedder = createShedder();
  return {
    record: (sample) => shedder.record(sample),
    admits: (request) => shedder.admits({ priority: 1, ...request }),
  };
}

const scenarios = {
  // The third site: callers spread evenly over gateways of 0.203 and 0.675.
  "two small gateways and a large one": {
    shares: [0.203, 0.203, 0.675],
    perSecond: 55,
    until: 20_000,
  },
  "a burst of three times the load for 3 s": {
    shares: [0.203, 0.203, 0.675],
    perSecond: 30,
    burstFactor: 3,
    burst: [5000, 8000],
    until: 20_000,
  },
  "gateways that all have too little room": {
    shares: [0.203, 0.203, 0.203],
    perSecond: 60,
    until: 20_000,
  },
  "gateways with room that stall for 200 ms at times": {
    shares: [0.203, 0.203, 0.675],
    perSecond: 20,
    stallMilliseconds: 200,
    until: 20_000,
  },
} satisfies Record<string, Omit<SheddingScenario, "seed">>;

describe("refusals by a processor that is short", () => {
  const policies = { none, sharePolicy, shedding };

  function play(
    scenario: keyof typeof scenarios,
    policy: keyof typeof policies,
  ) {
    const results = [1, 2, 3, 4, 5].map((seed) =>
      playShedding({ ...scenarios[scenario], seed }, policies[policy])
    );
    const mean = (read: (result: (typeof results)[number]) => number) =>
      results.reduce((sum, each) => sum + read(each), 0) / results.length;
    const result = {
      inTime: mean(({ inTime }) => inTime),
      afterBurst: mean(({ afterBurst }) => afterBurst),
      refused: mean(({ refused }) => refused),
    };
    if (printsFigures) console.log(scenario, policy, result);
    return result;
  }

  // Guards against gateways that are late while others have room.
  it.each(Object.keys(scenarios) as (keyof typeof scenarios)[])(
    "serve no fewer in time than the other policies: %s",
    (scenario) => {
      const { inTime } = play(scenario, "shedding");
      expect(inTime).toBeGreaterThanOrEqual(play(scenario, "none").inTime);
      expect(inTime).toBeGreaterThanOrEqual(
        play(scenario, "sharePolicy").inTime,
      );
    },
  );

  it("serve nearly all where the fleet has room", () => {
    expect(play("two small gateways and a large one", "shedding").inTime)
      .toBeGreaterThan(0.95);
  });

  // Guards against an overload that outlasts its cause.
  it("serve 0.9 of before within 2 s after a burst", () => {
    expect(
      play("a burst of three times the load for 3 s", "shedding").afterBurst,
    ).toBeGreaterThan(0.9);
  });

  // Guards against refusals that only a stall explains.
  it("refuse next to nothing where gateways with room stall", () => {
    expect(
      play("gateways with room that stall for 200 ms at times", "shedding")
        .refused,
    ).toBeLessThan(0.01);
  });
});
