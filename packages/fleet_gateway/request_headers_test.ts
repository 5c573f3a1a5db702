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
});
