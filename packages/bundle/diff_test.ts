import { describe, expect, it } from "vitest";
import { diffBundles, parseBundle } from "./mod.ts";

describe("diffBundles", () => {
  const document = {
    version: 1,
    operators: [{ name: "mei", publicKey: `${"A".repeat(43)}=` }],
    dataCentres: [
      { name: "hsinchu-a", region: "hsinchu" },
      { name: "taichung-a", region: "taichung" },
    ],
    services: [{ name: "fixture-stock", kind: "keyed" }],
    tenants: [{ name: "toolroom" }],
    routes: [{
      pathPrefix: "/fixtures/",
      service: "fixture-stock",
      tenant: { header: "x-tenant" },
      key: { pathSegment: 1 },
    }],
  };
  const before = parseBundle(document);

  describe("of equal bundles", () => {
    it("names nothing", () => {
      const difference = diffBundles(before, before);
      expect(difference.services).toEqual({
        added: [],
        removed: [],
        changed: [],
      });
      expect(difference.homes).toEqual([]);
      expect(difference.takenOut).toEqual([]);
    });
  });

  describe("of a bundle with changes", () => {
    it("names data centres, homes and services", () => {
      const after = parseBundle({
        ...document,
        version: 2,
        dataCentres: [document.dataCentres[0], {
          ...document.dataCentres[1],
          inService: false,
        }],
        tenants: [{ name: "toolroom", homeRegions: ["hsinchu"] }],
        services: [...document.services, {
          name: "jig-catalogue",
          kind: "shared",
        }],
      });
      const difference = diffBundles(before, after);
      expect(difference.takenOut).toEqual(["taichung-a"]);
      expect(difference.services.added).toEqual(["jig-catalogue"]);
      expect(difference.homes).toContainEqual({
        service: "fixture-stock",
        tenant: "toolroom",
        before: ["hsinchu", "taichung"],
        after: ["hsinchu"],
      });
    });
  });
});
