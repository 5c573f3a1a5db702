import { RequestBody } from "@kingcupglade/transport";
import { describe, expect, it } from "vitest";
import { requestHeaders } from "./request_headers.ts";

describe("the headers of a forwarded request", () => {
  // Guards against a caller's header that is lost for its name.
  it("keep one that is named like a property of every object", () => {
    const headers = { constructor: "a", deadline: "9" } as never;
    expect(requestHeaders(headers, { deadline: "1" }, RequestBody.empty))
      .toEqual(["constructor", "a", "deadline", "1"]);
  });

  // Guards against keys that targets receive, and names that callers forge.
  it("have no withheld header, unless the gateway adds it", () => {
    const headers = {
      authorization: "Bearer key",
      "x-tenant": "forged, again",
      connection: "x-tenant",
      other: "kept",
    } as never;
    const withheld = new Set(["authorization", "x-tenant"]);
    const body = RequestBody.empty;
    expect(requestHeaders(headers, {}, body, withheld))
      .toEqual(["other", "kept"]);
    expect(requestHeaders(headers, { "x-tenant": "acme" }, body, withheld))
      .toEqual(["other", "kept", "x-tenant", "acme"]);
  });
});
