import { beforeEach, describe, expect, it } from "vitest";
import { firstVm } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";
import { RequestPaths } from "./request_paths.ts";

describe("the paths of requests for a first update", () => {
  const through = (other: string | null) => ({ leader: "a", through: other });
  const request = {
    isRepeated: false,
    onHeader: () => {},
    signal: new AbortController().signal,
  };
  let sent: LeaderPath[];
  /** Peer addresses of VMs that name the leader in place of an update. */
  let refusing: readonly string[];

  beforeEach(() => {
    sent = [];
    refusing = [];
  });

  function pathsFrom(path: LeaderPath) {
    return new RequestPaths({
      path,
      send: (each) => {
        sent.push(each);
        return Promise.resolve(!refusing.includes(firstVm(each)));
      },
      isUpdate: (isUpdate) => isUpdate,
    });
  }

  async function requestTimes(paths: RequestPaths<boolean>, count: number) {
    for (let sentCount = 0; sentCount < count; sentCount += 1) {
      await paths.request(request);
    }
    return sent;
  }

  it("stay the same while no other VM names the leader", async () => {
    const paths = pathsFrom(through(null));
    expect(await requestTimes(paths, 3))
      .toEqual([through(null), through(null), through(null)]);
  });

  // Guards against a leader that confirms searches, delivers no update, and holds
  // a gateway at its old table.
  it("take turns with one through a VM that names it", async () => {
    const paths = pathsFrom(through(null));
    paths.recordNamed("b");
    paths.recordNamed("c");
    expect(await requestTimes(paths, 3))
      .toEqual([through(null), through("b"), through(null)]);
  });

  // Guards against a VM that names the leader, delivers nothing, and is asked
  // again and again.
  it("take turns with one after the other of the VMs that name it", async () => {
    const paths = pathsFrom(through(null));
    paths.recordNamed("b");
    paths.recordNamed("c");
    await requestTimes(paths, 6);
    expect(sent.filter((each) => each.through !== null))
      .toEqual([through("b"), through("c"), through("b")]);
    expect([...paths.asked]).toEqual(["a", "b", "c"]);
  });

  it("take turns with another one if the first is none of the leader", async () => {
    const paths = pathsFrom(through("b"));
    paths.recordNamed("b");
    expect(await requestTimes(paths, 2)).toEqual([through("b"), through(null)]);
    paths.recordNamed("c");
    await requestTimes(paths, 2);
    expect(sent.at(-1)).toEqual(through("c"));
  });

  // Failure: the response of a VM that forwards nothing counted as that of the
  // leader.
  it("take the name of the leader from another VM for a failure", async () => {
    refusing = ["b"];
    const paths = pathsFrom(through(null));
    paths.recordNamed("b");
    await paths.request(request);
    await expect(paths.request(request)).rejects.toThrow("forwards no request");
  });
});
