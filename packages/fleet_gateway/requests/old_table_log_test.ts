import { describe, expect, it, vi } from "vitest";
import { logOldTable } from "./old_table_log.ts";

describe("logOldTable", () => {
  function logAt(contactAgeMilliseconds: number) {
    const info = vi.fn();
    logOldTable({
      requestId: "r1",
      route: { name: "catalogue" },
      table: {
        position: { index: 12, term: 3, revision: 4, isComplete: true },
        routeVersion: () => 7,
      },
      contactAgeMilliseconds,
    }, { info });
    return info;
  }

  it("names the version that matched and the age of the table", () => {
    expect(logAt(2100.4)).toHaveBeenCalledWith("request-on-old-table", {
      request: "r1",
      route: "catalogue",
      version: 7,
      index: 12,
      term: 3,
      contactAgeMilliseconds: 2100,
    });
  });

  it("writes nothing while the gateway is in contact", () => {
    expect(logAt(2000)).not.toHaveBeenCalled();
  });
});
