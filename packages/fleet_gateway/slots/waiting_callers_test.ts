import { RequestKind } from "@kingcupglade/items";
import { ManualClock } from "@kingcupglade/tasks";
import { nextTurn } from "@kingcupglade/transport";
import { beforeEach, describe, expect, it } from "vitest";
import { TargetSide } from "../exchanges/exchange_sides.ts";
import {
  answerFor,
  ForwardingFixture,
} from "../requests/forwarding_fixture.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";
import type { ServiceQueue } from "./service_queue.ts";

const waitMilliseconds = 200;

describe("a request that waits for a target", () => {
  let clock: ManualClock;
  let hasRoom: boolean;
  let sentCount: number;
  /** Requests at the target, as its record counts them. */
  let inFlight: number;
  let queue: ServiceQueue;
  let forwarder: RequestForwarder;

  beforeEach(() => {
    // The queue goes by the clock of the fixture.
    clock = new ManualClock(performance.now());
    hasRoom = false;
    sentCount = 0;
    inFlight = 0;
    const fixture = new ForwardingFixture([]);
    const context = fixture.context();
    const selector = context["selector"] as { service(): ServiceQueue };
    queue = selector.service();
    const found = {
      kind: "found",
      target: { name: "t0", address: "t0" },
      record: {
        expectedDuration: () => 1,
        begin: () => inFlight += 1,
        end: () => inFlight -= 1,
      },
    };
    forwarder = new RequestForwarder({
      context: {
        ...context,
        clock,
        connections: {
          acquire: () => new TargetSide(sentCount++, false).connection,
          release: () => {},
          end: () => {},
        },
        selector: {
          ...selector,
          select: () => hasRoom ? found : { kind: "wait" },
        },
      } as never,
      routed: {
        ...fixture.routed({ requestId: "r1", requests: RequestKind.once }),
        arrivedAt: clock.now(),
        deadlineAt: clock.now() + 5000,
      } as never,
      answer: answerFor(() => {}) as never,
      handOver: () => {},
    });
    forwarder.start();
    clock.advance(waitMilliseconds);
    hasRoom = true;
    queue.advance();
  });

  it("is sent once the event loop has read what has arrived", async () => {
    expect([sentCount, inFlight]).toEqual([0, 1]);
    await nextTurn();
    await null;
    expect([sentCount, inFlight]).toEqual([1, 1]);
    forwarder.abandon();
  });

  // Guards against work for a caller whose end is read in the turn in which a
  // target has room, but after that.
  it("is not sent if its caller has left by then, and gives its place back", async () => {
    forwarder.abandon();
    await nextTurn();
    await null;
    expect([sentCount, inFlight, queue.inFlight]).toEqual([0, 0, 0]);
  });
});
