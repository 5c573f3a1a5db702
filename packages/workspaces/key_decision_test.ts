import { ItemKind, RequestKind } from "@kingcupglade/items";
import type { Route, StoredItem, Workspace } from "@kingcupglade/items";
import { describe, expect, it } from "vitest";
import { decideOnKey, KeyFault, recheckKey } from "./key_decision.ts";
import { KeyIndex } from "./key_index.ts";

const digest = "a".repeat(64);
const samePrefix = "a".repeat(63) + "b";
const route: Route = {
  kind: ItemKind.route,
  name: "lookup",
  host: "jigs.example",
  pathPrefix: "/",
  requests: RequestKind.idempotent,
  timeoutMilliseconds: 1000,
  objectiveMilliseconds: 500,
  priority: 2,
  parts: [{ service: "s", weight: 1 }],
  maximumTargets: 2,
  homeRegions: [],
};

function stored(content: Partial<Workspace> | null): StoredItem {
  return {
    kind: ItemKind.workspace,
    name: "acme",
    version: 1,
    source: "",
    changedAt: 1,
    content: content && {
      kind: ItemKind.workspace,
      name: "acme",
      keyDigests: [digest],
      priority: null,
      ratePerSecond: 0,
      burst: 0,
      homeRegions: [],
      ...content,
    },
  };
}

function decide(
  items: readonly StoredItem[],
  options: {
    readonly keyDigest?: string;
    readonly route?: Partial<Route>;
    readonly hasLease?: boolean;
    readonly isRecent?: boolean;
  } = {},
) {
  const { hasLease = true, isRecent = true } = options;
  return decideOnKey(
    { route: { ...route, ...options.route }, keyDigest: options.keyDigest },
    { keys: new KeyIndex(items), hasLease, isRecent },
  );
}

describe("a decision on a key", () => {
  it("needs none before the first workspace, without a lease either", () => {
    expect(decide([], { hasLease: false, isRecent: false }))
      .toEqual({ kind: "accepted", route });
  });

  it("needs one once there was a workspace, but not on public routes", () => {
    const removed = [stored(null)];
    expect(decide(removed)).toMatchObject({ fault: KeyFault.noKey });
    expect(decide(removed, { keyDigest: digest }))
      .toMatchObject({ fault: KeyFault.unknownKey });
    expect(decide(removed, { route: { isPublic: true }, hasLease: false }))
      .toMatchObject({ kind: "accepted" });
  });

  it("compares the whole digest", () => {
    const items = [stored({})];
    expect(decide(items, { keyDigest: digest }))
      .toMatchObject({ kind: "accepted", workspace: "acme" });
    expect(decide(items, { keyDigest: samePrefix }))
      .toMatchObject({ fault: KeyFault.unknownKey });
    expect(decide(items, { keyDigest: digest.slice(0, 16) }))
      .toMatchObject({ fault: KeyFault.unknownKey });
  });

  // Guards against a gateway that answers 401 to a key that others know.
  it("calls a key unknown only with a recent table", () => {
    const items = [stored({})];
    for (const keyDigest of [undefined, samePrefix]) {
      expect(
        decide(items, { ...(keyDigest && { keyDigest }), isRecent: false }),
      )
        .toMatchObject({ fault: KeyFault.oldTable });
    }
    expect(decide(items, { keyDigest: digest, isRecent: false }))
      .toMatchObject({ kind: "accepted" });
  });

  it("needs a lease for every key", () => {
    const items = [stored({})];
    for (const keyDigest of [digest, samePrefix]) {
      expect(decide(items, { keyDigest, hasLease: false }))
        .toMatchObject({ fault: KeyFault.noLease });
    }
  });

  it("applies priority and home regions of the workspace", () => {
    const decideFor = (
      workspace: Partial<Workspace>,
      homeRegions: readonly string[],
    ) =>
      decide([stored(workspace)], {
        keyDigest: digest,
        route: { homeRegions },
      });
    expect(decideFor({ priority: 0, homeRegions: ["n", "s"] }, ["s", "w"]))
      .toMatchObject({ route: { priority: 0, homeRegions: ["s"] } });
    expect(decideFor({ homeRegions: ["n"] }, []))
      .toMatchObject({ route: { priority: 2, homeRegions: ["n"] } });
    expect(decideFor({}, ["s"]))
      .toMatchObject({ route: { priority: 2, homeRegions: ["s"] } });
    // An empty list would stand for all regions.
    expect(decideFor({ homeRegions: ["n"] }, ["s"]))
      .toEqual({
        kind: "refused",
        fault: KeyFault.noRegion,
        workspace: "acme",
      });
  });
});

describe("a check before a request is sent", () => {
  const known = { name: "acme", keyDigest: digest };
  const knowledge = {
    keys: new KeyIndex([stored({})]),
    hasLease: true,
    isRecent: true,
  };

  it("finds a lost lease, a revoked key, and one of another workspace", () => {
    expect(recheckKey(known, knowledge)).toBeUndefined();
    expect(recheckKey(known, { ...knowledge, hasLease: false }))
      .toBe(KeyFault.noLease);
    expect(recheckKey({ ...known, keyDigest: samePrefix }, knowledge))
      .toBe(KeyFault.unknownKey);
    expect(recheckKey({ ...known, name: "b" }, knowledge))
      .toBe(KeyFault.unknownKey);
    expect(
      recheckKey({ ...known, name: "b" }, { ...knowledge, isRecent: false }),
    )
      .toBe(KeyFault.oldTable);
  });
});
