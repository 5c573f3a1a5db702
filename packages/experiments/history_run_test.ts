import { firstViolations, formatViolations } from "@kingcupglade/checker";
import { beforeAll, describe, expect, it } from "vitest";
import { runHistory } from "./history_run.ts";
import type { HistoryRun } from "./history_run.ts";

describe("nine VMs under callers and faults", () => {
  let run: HistoryRun;

  beforeAll(async () => {
    run = await runHistory({ seed: 1, seconds: 8 });
  });

  it("keep every promise", () => {
    expect(run.outcomes.get("answered")).toBeGreaterThan(0);
    expect(formatViolations(firstViolations(run.violations))).toBe("");
  });

  it("serve every range in the end", () => {
    expect(run.recovered).toBe(true);
  });
});
