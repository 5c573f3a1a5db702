import { describe, expect, it } from "vitest";
import { FakeFiles, NewFileDurability } from "./fake_files.ts";
import { createRandom, lossesOf } from "./fake_losses.ts";
import { FolderHistory, FolderWrite } from "./folder_history.ts";

const { append, snapshot } = FolderWrite;
/** More operations than any life of an exhaustive history takes. */
const maximumOperations = 40;
const maximumLives = 6;
/** Number of random histories, for runs by hand. */
const randomHistories = Number(process.env["FOLDER_HISTORIES"] ?? 400);
const firstSeed = Number(process.env["FOLDER_SEED"] ?? 1);

const readings = Object.values(NewFileDurability);

function count(faults: Map<string, number>, { fault }: FolderHistory): void {
  if (fault) faults.set(fault, (faults.get(fault) ?? 0) + 1);
}

/** Lives with `writes`, and is killed after a number of operations. */
async function liveAndKill(
  before: { readonly files: FakeFiles; readonly history: FolderHistory },
  writes: readonly FolderWrite[],
  operations: number,
) {
  const files = before.files.kill();
  const history = before.history.copy();
  files.failAfter(operations);
  await history.live(files, writes);
  return { files, history, isOver: files.operations < operations };
}

describe("a data folder", () => {
  // Guards against: what a restarted replica read after a kill, and answered
  // from, was gone after a loss of power.
  describe("killed, opened, killed and without power at any operation", () => {
    const firstLives = [
      { name: "a new folder", before: [], writes: [append] },
      { name: "a log", before: [append], writes: [append, append] },
      { name: "a snapshot", before: [append, append], writes: [snapshot] },
      {
        name: "a second snapshot",
        before: [append, snapshot],
        writes: [append, snapshot],
      },
    ];
    const cases = firstLives.flatMap((each) =>
      readings.map((newFiles) => ({ ...each, newFiles }))
    );

    it.each(cases)(
      "keeps what a life worked from, with $name and $newFiles",
      async ({ before, writes, newFiles }) => {
        const faults = new Map<string, number>();
        const start = {
          files: new FakeFiles({ newFiles }),
          history: new FolderHistory(),
        };
        if (before.length > 0) await start.history.live(start.files, before);
        for (let first = 0; first < maximumOperations; first += 1) {
          const one = await liveAndKill(start, writes, first);
          for (let second = 0; second < maximumOperations; second += 1) {
            const two = await liveAndKill(one, [append, snapshot], second);
            for (const files of lossesOf(two.files)) {
              const history = two.history.copy();
              await history.check(files);
              count(faults, history);
            }
            if (two.isOver) break;
          }
          if (one.isOver) break;
        }
        expect(Object.fromEntries(faults)).toEqual({});
      },
    );
  });

  // Guards against: a folder with an older state, that does not open, or with
  // another incarnation after several kills and losses of power.
  describe("with up to six random lives", () => {
    const runHistory = async (seed: number): Promise<FolderHistory> => {
      const random = createRandom(seed);
      const below = (limit: number) => Math.floor(random() * limit);
      const history = new FolderHistory();
      const newFiles = readings[below(readings.length)]!;
      let files = new FakeFiles({ newFiles });
      const lives = 2 + below(maximumLives - 1);
      for (let life = 1; life < lives; life += 1) {
        if (random() < 0.8) files.failAfter(below(25), random());
        const writes = Array.from(
          { length: below(6) },
          () => random() < 0.3 ? snapshot : append,
        );
        await history.live(files, writes);
        const isKill = random() < 0.5;
        files = isKill ? files.kill() : files.losePower(() => {
          const share = random() * 4 - 1;
          return share < 1 ? Math.min(0, share) : Math.min(1, share - 1);
        });
      }
      await history.check(files);
      return history;
    };

    it("keeps what each life worked from", async () => {
      const faults = new Map<string, number>();
      const seeds: number[] = [];
      for (let at = 0; at < randomHistories; at += 1) {
        const history = await runHistory(firstSeed + at);
        count(faults, history);
        if (history.fault) seeds.push(firstSeed + at);
      }
      expect({ faults: Object.fromEntries(faults), seeds }).toEqual({
        faults: {},
        seeds: [],
      });
    });
  });
});
