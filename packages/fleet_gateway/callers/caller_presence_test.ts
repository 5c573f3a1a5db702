import { ManualClock } from "@kingcupglade/tasks";
import { describe, expect, it } from "vitest";
import { CallerPresence } from "./caller_presence.ts";

describe("CallerPresence", () => {
  it("is confirmed without a wait for a short time", () => {
    const clock = new ManualClock(0);
    const presence = new CallerPresence(clock);
    clock.advance(99);
    expect(presence.confirm()).toBeUndefined();
  });

  it("waits for the event loop to read what has arrived since", async () => {
    const clock = new ManualClock(0);
    const presence = new CallerPresence(clock);
    clock.advance(100);
    let hasRead = false;
    setImmediate(() => (hasRead = true));
    await presence.confirm();
    expect(hasRead).toBe(true);
    expect(presence.confirm()).toBeUndefined();
    clock.advance(100);
    expect(presence.confirm()).toBeInstanceOf(Promise);
  });
});
