import { encodeValue, WireError } from "@kingcupglade/protocol";
import { describe, expect, it } from "vitest";
import type { Watch, WatchAnswer } from "./watch.ts";
import {
  decodeWatch,
  decodeWatchAnswer,
  decodeWatchOwnPart,
  encodeWatch,
  encodeWatchAnswer,
  encodeWatchOwnPart,
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
    const { items, itemsDigest, position } = answer.delta;
    expect(itemsDigest).toBeNull();
    expect([items[0]?.version, position.index]).toEqual([7, 5]);
  });

  it("round-trips a request", () => {
    const watch: Watch = {
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
    expect(decodeWatch(encodeWatch(watch))).toEqual(watch);
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
