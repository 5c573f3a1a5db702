import { describe, expect, it } from "vitest";
import { Contact } from "./contact_record.ts";
import { LeaveRecord } from "./leave_record.ts";

const inContact = { contactOf: () => Contact.full, lifeAt: () => 0 };

function recordRunAt(at: number, options = { isAcknowledged: true }) {
  const record = new LeaveRecord({ gatewayOf: () => "gateway-0" });
  if (options.isAcknowledged) record.recordLeave("target-0", 1000);
  record.recordRun("request-1", "target-0", at);
  return record;
}

describe("record of targets that leave", () => {
  it("names a run later than the bound after the acknowledgement", () => {
    const record = recordRunAt(3100);
    expect(record.lateRuns).toMatchObject([{ milliseconds: 2100 }]);
    expect(record.findViolations(inContact)).toEqual([
      "at 3.100 s: request-1 reached target-0 from gateway-0, 2100 ms after its leave was acknowledged",
    ]);
  });

  it("allows runs until then", () => {
    expect(recordRunAt(2900).findViolations(inContact)).toEqual([]);
  });

  it("does not judge targets whose leave was not acknowledged", () => {
    const record = recordRunAt(9000, { isAcknowledged: false });
    expect(record.lateRuns).toEqual([]);
  });

  it.each([Contact.none, Contact.unsteady])(
    "excuses a gateway whose contact is %s",
    (contact) => {
      const contacts = { ...inContact, contactOf: () => contact };
      expect(recordRunAt(3100).findViolations(contacts)).toEqual([]);
    },
  );
});
