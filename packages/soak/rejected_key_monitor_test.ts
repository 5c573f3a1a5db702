import { beforeEach, describe, expect, it } from "vitest";
import { Contact } from "./contact_record.ts";
import { KeyHistory } from "./key_history.ts";
import { RejectedKeyMonitor } from "./rejected_key_monitor.ts";

const acknowledgedAt = 1000;

describe("RejectedKeyMonitor", () => {
  let history: KeyHistory;
  let monitor: RejectedKeyMonitor;
  let contact: Contact;

  beforeEach(() => {
    history = new KeyHistory();
    history.recordChange({
      workspace: "acme",
      keys: ["k"],
      sentAt: 900,
      acknowledgedAt,
    });
    monitor = new RejectedKeyMonitor(history);
    contact = Contact.full;
  });

  function end(sentAt: number, status = 401, key = "k"): readonly string[] {
    monitor.recordOutcome(
      { id: "w1", gateway: "gateway-0", key, isPublic: false, sentAt },
      { endedAt: sentAt + 10, status },
    );
    return monitor.findViolations({ contactOf: () => contact });
  }

  it("detects a 401 to a key that was acknowledged 2.5 s before", () => {
    expect(end(acknowledgedAt + 2501)).toMatchObject([
      expect.stringContaining("gateway-0 rejected w1 with 401, sent 2501 ms"),
    ]);
  });

  it("allows it sooner, to other keys, and with other statuses", () => {
    end(acknowledgedAt + 2500);
    end(50_000, 503);
    expect(end(50_000, 401, "wrong")).toEqual([]);
    expect(monitor.judgedCount).toBe(1);
  });

  // A removal may come into force before it is acknowledged.
  it("allows it from the sending of a removal on", () => {
    history.recordChange({ workspace: "acme", keys: [], sentAt: 50_005 });
    expect(end(50_000)).toEqual([]);
    expect(end(49_000)).toHaveLength(1);
  });

  it("judges no gateway out of contact, and waits longer while control is unsteady", () => {
    contact = Contact.none;
    expect(end(50_000)).toEqual([]);
    contact = Contact.unsteady;
    monitor = new RejectedKeyMonitor(history);
    expect(end(acknowledgedAt + 7500)).toEqual([]);
    expect(end(acknowledgedAt + 7501)).toHaveLength(1);
  });
});
