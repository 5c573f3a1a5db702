import { describe, expect, it } from "vitest";
import { WaitingRoom } from "./waiting_room.ts";

describe("a waiting room", () => {
  it("is bounded for each subject and in all, and empties with the next table", async () => {
    let wake: () => void = () => {};
    const table = new Promise<void>((resolve) => (wake = resolve));
    const room = new WaitingRoom({
      routing: { nextTable: () => table },
      maximumRequests: 3,
      maximumPerSubject: 2,
    });
    const waiting = ["a", "a", "b"].map((subject) => room.wait(subject, 1000));
    expect(room.size).toBe(3);
    expect(await room.wait("c", 1000)).toBe(false);
    wake();
    expect(await Promise.all(waiting)).toEqual([true, true, true]);
    expect(room.size).toBe(0);
    const again = [room.wait("a", 1), room.wait("a", 1)];
    expect(await room.wait("a", 1)).toBe(false);
    await Promise.all(again);
  });
});
