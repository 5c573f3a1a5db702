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
