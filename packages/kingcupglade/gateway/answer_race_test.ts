import { describe, expect, it } from "vitest";
import { AnswerRace } from "./answer_race.ts";
import { CollectingSink } from "./answer_sink.ts";

describe("an answer race", () => {
  const legsOf = (maximumBytes: number) => {
    const sink = new CollectingSink({ maximumBytes });
    const race = new AnswerRace(sink);
    const closed: string[] = [];
    const [first, second] = ["first", "second"].map((name) => {
      const leg = race.leg();
      leg.onClose(() => closed.push(name));
      return leg;
    });
    return { sink, closed, first: first!, second: second! };
  };

  it("ends every other exchange at the first head", () => {
    const { sink, closed, first, second } = legsOf(10);
    second.begin(200, []);
    first.begin(500, []);
    first.end();
    second.end();
    expect(closed).toEqual(["first"]);
    expect(sink.answer?.status).toBe(200);
  });

  it("ends all of them when the receiver goes", () => {
    const { closed, first } = legsOf(1);
    first.begin(200, []);
    expect(closed).toEqual(["second"]);
    first.write(Buffer.alloc(2));
    expect(closed).toEqual(["second", "first", "second"]);
  });

  it("tells an exchange that has ended nothing", () => {
    const { sink, closed } = legsOf(1);
    const ended = new AnswerRace(sink).leg();
    ended.onClose(() => closed.push("ended"))();
    sink.write(Buffer.alloc(2));
    expect(closed).toEqual([]);
  });
});
