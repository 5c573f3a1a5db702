import { describe, expect, it } from "vitest";
import { RequestPaths } from "./request_paths.ts";

describe("the paths of requests for a first update", () => {
  const through = (other: string | null) => ({ leader: "a", through: other });

  it("stay the same while no other VM names the leader", () => {
    const paths = new RequestPaths(through(null));
    expect([paths.next(), paths.next(), paths.next()])
      .toEqual([through(null), through(null), through(null)]);
  });

  // Guards against a leader that confirms searches, delivers no update, and holds
  // a gateway at its old table.
  it("take turns with one through a VM that names it", () => {
    const paths = new RequestPaths(through(null));
    paths.recordNamed("b");
    paths.recordNamed("c");
    expect([paths.next(), paths.next(), paths.next()])
      .toEqual([through(null), through("b"), through(null)]);
  });

  it("take turns with another one if the first is none of the leader", () => {
    const paths = new RequestPaths(through("b"));
    paths.recordNamed("b");
    expect([paths.next(), paths.next()]).toEqual([through("b"), through(null)]);
    paths.recordNamed("c");
    paths.next();
    expect(paths.next()).toEqual(through("c"));
  });
});
