import { encodeValue, WireError } from "@kingcupglade/protocol";
import { describe, expect, it } from "vitest";
import {
  decodeRelayReply,
  decodeRelayRequest,
  encodeRelayReply,
  encodeRelayRequest,
  RelayDecision,
} from "./relay_message.ts";

const secret = "secret";
const request = {
  id: "a1",
  from: "g",
  route: "r",
  routeVersion: 7,
  service: "s",
  ageMilliseconds: 12,
  leftMilliseconds: 900,
  arrived: ["t"],
};
const reply = { id: "a1", decision: RelayDecision.taken, target: "t" };

/** The same messages as fee1e39 writes them. */
const earlier = {
  request: "maZzZWNyZXSiYTGhZ6FyB6FzDM0DhJGhdA",
  reply: "k6JhMaV0YWtlbqF0",
};

// Guards against messages that gateways of the release before do not understand:
// their rows have a fixed length.
describe("messages between gateways of different releases", () => {
  it("have the bytes of the earlier release", () => {
    expect(encodeRelayRequest(request, secret)).toBe(earlier.request);
    expect(encodeRelayReply(reply)).toBe(earlier.reply);
  });

  it("are read as that release writes them", () => {
    expect(decodeRelayRequest(earlier.request, secret)).toEqual(request);
    expect(decodeRelayReply(earlier.reply)).toEqual(reply);
  });
});

describe("the workspace of a relayed request", () => {
  it("crosses with the digest of its key", () => {
    const workspace = { name: "acme", keyDigest: "a".repeat(64) };
    const header = encodeRelayRequest({ ...request, workspace }, secret);
    expect(decodeRelayRequest(header, secret)).toEqual({
      ...request,
      workspace,
    });
  });

  it("crosses with the lease of its limit", () => {
    const workspace = { name: "acme", keyDigest: "a".repeat(64) };
    const limited = { ...request, workspace, quotaLeftMilliseconds: 1234 };
    const header = encodeRelayRequest(limited, secret);
    expect(decodeRelayRequest(header, secret)).toEqual(limited);
  });

  // Guards against a request that is taken for one that needs no key.
  it("is not read from a row of another length", () => {
    const row = ["secret", "a", "g", "r", 7, "s", 1, 9, ["t"], "acme"];
    const header = Buffer.from(encodeValue(row)).toString("base64url");
    expect(() => decodeRelayRequest(header, secret)).toThrow(WireError);
    const odd = Buffer.from(encodeValue([...row, 7])).toString("base64url");
    expect(() => decodeRelayRequest(odd, secret)).toThrow(WireError);
  });
});
