import { encodeValue, WireError } from "@kingcupglade/protocol";
import { describe, expect, it } from "vitest";
import { decodeGreeting } from "./greeting.ts";

const greeting = {
  replica: "10.1.0.10:7390.ab12",
  controlAddress: "10.1.0.10:7300",
  peerAddress: "10.1.0.10:7390",
  dataCentre: "hsinchu-a",
  region: "hsinchu",
  isMember: true,
  founders: ["10.1.0.10:7390.ab12"],
  known: ["10.1.0.11:7390"],
  time: { process: "p-1", milliseconds: 1.5 },
};

describe("decodeGreeting", () => {
  it("takes greetings of other releases", () => {
    const { time: _time, ...earlier } = greeting;
    expect(decodeGreeting(encodeValue(earlier))).toEqual(earlier);
    const later = { ...greeting, term: 3 };
    expect(decodeGreeting(encodeValue(later))).toEqual(later);
  });

  // Guards against a control VM that ends at its next decision after one odd
  // greeting.
  it("refuses a greeting with any field that is odd or missing", () => {
    const { time: _time, ...required } = greeting;
    for (const name of Object.keys(required)) {
      const { [name]: _omitted, ...rest } = { ...greeting } as Record<
        string,
        unknown
      >;
      for (const odd of [undefined, null, 7, "odd", ["odd"], {}]) {
        if (odd === "odd" && /dataCentre|region/.test(name)) continue;
        expect(() => decodeGreeting(encodeValue({ ...rest, [name]: odd })))
          .toThrow(WireError);
      }
    }
    expect(() => decodeGreeting(encodeValue("odd"))).toThrow(WireError);
  });
});
