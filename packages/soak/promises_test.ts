import { describe, expect, it } from "vitest";
import { Promises } from "./promises.ts";

describe("Promises", () => {
  it("finds a reservation that runs twice", () => {
    const promises = new Promises();
    promises.noteAsked("r1", false);
    promises.noteRun("r1", "first");
    expect(promises.violations).toEqual([]);
    promises.noteRun("r1", "second");
    expect(promises.violations).toHaveLength(1);
  });

  it("lets a lookup run twice", () => {
    const promises = new Promises();
    promises.noteAsked("r1", true);
    promises.noteRun("r1", "first");
    promises.noteRun("r1", "second");
    expect(promises.violations).toEqual([]);
  });

  it("finds a refusal that is not true, before and after the run", () => {
    const promises = new Promises();
    for (const id of ["r1", "r2"]) promises.noteAsked(id, false);
    promises.noteRun("r1", "first");
    promises.noteAnswer("r1", { status: 503, body: "" });
    promises.noteAnswer("r2", { status: 503, body: "" });
    promises.noteRun("r2", "first");
    expect(promises.violations).toHaveLength(2);
  });

  it("finds another caller's answer", () => {
    const promises = new Promises();
    promises.noteAsked("r1", true);
    promises.noteAnswer("r1", { status: 200, body: "r2" });
    expect(promises.violations).toHaveLength(1);
  });

  it("finds two owners of one position", () => {
    const promises = new Promises();
    const holder = (name: string) => ({ name, holds: () => true });
    promises.watch(holder("first"));
    promises.noteOwner("r1", { target: "first", position: 7 });
    expect(promises.violations).toEqual([]);
    promises.watch(holder("second"));
    promises.noteOwner("r1", { target: "first", position: 7 });
    expect(promises.violations).toHaveLength(1);
  });

  it("finds a run that nobody asked for", () => {
    const promises = new Promises();
    promises.noteRun("r9", "first");
    expect(promises.violations).toHaveLength(1);
  });
});
