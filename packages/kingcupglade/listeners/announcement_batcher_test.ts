import type { Announcement } from "@kingcupglade/membership";
import { createMetrics } from "@kingcupglade/telemetry";
import { describe, expect, it } from "vitest";
import type { ControlClient } from "../control/control_client.ts";
import {
  AnnouncementBatcher,
  AnnouncementOverloadError,
  AnnouncementRateError,
} from "./announcement_batcher.ts";

const announcementOf = (target: string): Announcement => ({
  target,
  boot: "first",
  service: "fixture-stock",
  dataCentre: "hsinchu-a",
  address: "http://127.0.0.1:1",
  slots: 6,
  connections: 110,
  coldSlots: 1,
  checksFences: true,
  condition: "serving",
});

describe("announcements", () => {
  const silent = { call: () => Promise.reject(new Error("no leader")) };
  const createBatcher = () =>
    new AnnouncementBatcher({
      control: silent as unknown as ControlClient,
      vm: "vm-1",
      clock: { now: () => 0 },
      metrics: createMetrics(),
    });
  const failureOf = (outcome: Promise<unknown>) =>
    outcome.then(() => null, (failure: unknown) => failure);

  it("are refused when one target sends too many", async () => {
    const batcher = createBatcher();
    const failures = await Promise.all(
      Array.from(
        { length: 12 },
        () => failureOf(batcher.announce(announcementOf("fixture-1"))),
      ),
    );
    const refused = failures.filter((each) =>
      each instanceof AnnouncementRateError
    );
    expect(refused.length).toBe(2);
  });

  it("are refused when too many targets send at once", async () => {
    const batcher = createBatcher();
    const failures = await Promise.all(
      Array.from(
        { length: 1100 },
        (_, index) =>
          failureOf(batcher.announce(announcementOf(`fixture-${index}`))),
      ),
    );
    const refused = failures.filter((each) =>
      each instanceof AnnouncementOverloadError
    );
    expect(refused.length).toBe(1100 - 1024);
  });
});
