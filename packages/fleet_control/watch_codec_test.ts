import { encodeValue, WireError } from "@kingcupglade/protocol";
import { describe, expect, it } from "vitest";
import { Feature } from "./feature.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { Watch, WatchAnswer } from "./watch.ts";
import {
  decodeWatch,
  decodeWatchAnswer,
  decodeWatchOwnPart,
  encodeWatch,
  encodeWatchAnswer,
  encodeWatchOwnPart,
  isCompactAnswer,
} from "./watch_codec.ts";

const gatewayVms = 195;
const targets = 336;
const owners = 127;
const rangesPerOwner = 8;
const positions = 65_536;

/** An update as a leader of 63080a9 writes it. */
const earlierUpdate = [
  "AISka2luZKRuZXdzpWRlbHRhi6hwb3NpdGlvboSlaW5kZXgFpHRlcm0CqHJl",
  "dmlzaW9uA6ppc0NvbXBsZXRlw6VpdGVtc5GGpGtpbmSlcm91dGWkbmFtZaFy",
  "p3ZlcnNpb24Hp2NvbnRlbnTApnNvdXJjZaCpY2hhbmdlZEF0Ba5kYXRhQ2Vu",
  "dHJlc091dJCoZGVwYXJ0ZWSQsmFyZVRhcmdldHNDb21wbGV0ZcKucmVtb3Zl",
  "ZFRhcmdldHOQqGdhdGV3YXlzAqhtYW5hZ2Vyc8CmcmVsYXlzwKhzdXNwZWN0",
  "c8CnY29udHJvbMCndGFyZ2V0c5CmcmFuZ2VzkA==",
].join("");

/** Returns the complete table of a fleet of hundreds of VMs. */
function wholeTable(): WatchAnswer {
  const nameOf = (at: number) =>
    `i-${(Math.imul(at + 1, 2654435761) >>> 0).toString(16)}`;
  const ranges = owners * rangesPerOwner;
  const width = Math.floor(positions / ranges);
  return {
    kind: "news",
    delta: {
      position: { index: 31, term: 2, revision: 900, isComplete: true },
      items: [],
      itemsDigest: 2 ** 47 + 1,
      tableDigest: 2 ** 47 + 2,
      dataCentresOut: ["hsinchu-a"],
      departed: ["i-gone"],
      targets: Array.from({ length: targets }, (_, at) => ({
        name: nameOf(at),
        service: at < owners ? "huvo11a" : "wuno96b",
        address: `10.${at % 9}.64.${at % 200}:8080`,
        dataCentre: `hsinchu-${"abc"[at % 3]}`,
        slots: 6,
        isLeaving: at % 50 === 0,
        isCold: at % 40 === 0,
        coldGateways: at % 40 === 0 ? ["front-1", "front-2"] : [],
        maximumPerSecond: at % 60 === 0 ? 2.2 : null,
        limitGateways: at % 60 === 0 ? ["front-3"] : [],
        bornAt: 1_790_000_000_000 + at * 137,
      })),
      areTargetsComplete: true,
      removedTargets: [],
      ranges: Array.from({ length: ranges }, (_, at) => ({
        service: "huvo11a",
        from: at * width,
        to: (at + 1) * width - 1,
        owner: nameOf(at % owners),
        fence: 17 + at % 5,
        isMoving: at % 30 === 0,
      })),
      gateways: gatewayVms,
      relays: null,
      managers: [{
        name: "front-1",
        address: "10.1.0.9:7720",
        dataCentre: "hsinchu-a",
      }],
      suspects: null,
      control: ["10.1.0.1:7720"],
    },
  };
}

const request: Watch = {
  gateway: "front-1",
  dataCentre: "hsinchu-a",
  region: "hsinchu",
  address: "10.1.0.9:7720",
  isLeaving: false,
  isCutOff: true,
  position: { index: 31, term: 2, revision: 900, isComplete: true },
  isSearch: false,
  features: [],
  quotas: [],
  demand: [
    { service: "a", position: 3, count: 2 },
    { service: "a", position: 9, count: 1 },
    { service: "b", position: 3, count: 7 },
  ],
  durations: [{ target: "i-1", milliseconds: 310 }],
  suspects: [],
  leaving: [],
  limits: [
    { target: "i-1", perSecond: 2.2 },
    { target: "i-2", perSecond: null },
  ],
};

const emptyUpdate: Extract<WatchAnswer, { kind: "news" }> = {
  kind: "news",
  delta: {
    position: { index: 31, term: 2, revision: 900, isComplete: true },
    items: [],
    itemsDigest: 2 ** 47 + 1,
    tableDigest: 2 ** 47 + 2,
    dataCentresOut: [],
    departed: [],
    targets: [],
    areTargetsComplete: false,
    removedTargets: [],
    ranges: [],
    gateways: gatewayVms,
    relays: null,
    managers: null,
    suspects: [],
    control: null,
  },
};
describe("the own part of a watch response", () => {
  it("round-trips, and is empty in responses of earlier releases", () => {
    const part = { confirmedAgeMilliseconds: 12.5, quotas: [["acme", 7]] };
    expect(decodeWatchOwnPart(encodeWatchOwnPart(part))).toEqual(part);
    expect(decodeWatchOwnPart(new Uint8Array())).toEqual({});
  });
});

describe("watch codec", () => {
  it("round-trips a response", () => {
    const answer = wholeTable();
    expect(decodeWatchAnswer(encodeWatchAnswer(answer))).toEqual(answer);
    for (
      const other of [
        { kind: "leads" },
        { kind: "elsewhere", leader: null },
      ] as const
    ) expect(decodeWatchAnswer(encodeWatchAnswer(other))).toEqual(other);
  });

  it("reads the update of a leader that sends no digest", () => {
    const answer = decodeWatchAnswer(
      new Uint8Array(Buffer.from(earlierUpdate, "base64")),
    );
    if (answer.kind !== "news") throw new Error("no update");
    const { items, itemsDigest, tableDigest, position } = answer.delta;
    expect([itemsDigest, tableDigest]).toEqual([null, null]);
    expect([items[0]?.version, position.index]).toEqual([7, 5]);
  });

  it("round-trips a request", () => {
    expect(decodeWatch(encodeWatch(request))).toEqual(request);
  });

  describe("in the compact form", () => {
    const form = { isCompact: true };

    it("round-trips an update", () => {
      const answer = wholeTable();
      const bytes = encodeWatchAnswer(answer, form);
      expect(decodeWatchAnswer(bytes)).toEqual(answer);
      expect(isCompactAnswer(bytes)).toBe(true);
      expect(isCompactAnswer(encodeWatchAnswer(answer))).toBe(false);
    });

    // A leader of an earlier release sends rows without it.
    it("reads an update without the digest of the table", () => {
      const row = unpackValue<unknown[]>(encodeWatchAnswer(emptyUpdate, form));
      const update = decodeWatchAnswer(packValue(row.slice(0, -1)));
      expect(update).toMatchObject({
        delta: { tableDigest: null, gateways: gatewayVms },
      });
    });

    // An empty list of suspects clears those of the gateway.
    it("tells an empty list from one that has not changed", () => {
      const update = decodeWatchAnswer(encodeWatchAnswer(emptyUpdate, form));
      expect(update).toEqual(emptyUpdate);
    });

    it("round-trips a request, and implies the features of its sender", () => {
      const features = [Feature.workspaces, Feature.compactWatch, "later"];
      const watch = { ...request, features, quotas: [[1]] };
      expect(decodeWatch(encodeWatch(watch, form))).toEqual(watch);
    });

    // An idle gateway sends one such pair each time its watch ends.
    it("needs less than half of the bytes while nothing changes", () => {
      const idle = {
        ...request,
        features: [Feature.workspaces, Feature.compactWatch],
        demand: [],
        durations: [],
        limits: [],
      };
      expect(encodeWatch(idle, form).length * 2)
        .toBeLessThan(encodeWatch(idle).length);
      expect(encodeWatchAnswer(emptyUpdate, form).length * 4)
        .toBeLessThan(encodeWatchAnswer(emptyUpdate).length);
    });

    it("rejects a message of another kind", () => {
      const update = encodeWatchAnswer(emptyUpdate, form);
      expect(() => decodeWatch(update)).toThrow(WireError);
      expect(() => decodeWatchAnswer(encodeWatch(request, form)))
        .toThrow(WireError);
    });
  });

  it("needs less than a seventh of the plain size for a table of hundreds of VMs", () => {
    const answer = wholeTable();
    expect(encodeWatchAnswer(answer).length * 7)
      .toBeLessThan(encodeValue(answer).length);
  });

  it("rejects bytes of another encoding", () => {
    for (const bytes of [[], [7, 1], [1, 255, 255], [0]]) {
      expect(() => decodeWatchAnswer(Uint8Array.from(bytes)))
        .toThrow(WireError);
    }
  });
});
