import { describe, expect, it } from "vitest";
import { Contact } from "./contact_record.ts";
import { LinkContacts, LinkFaultKind } from "./link_contact.ts";
import type { LinkDisturbance } from "./link_contact.ts";

const control = ["c0", "c1", "c2", "c3", "c4"];
const { cut, silence, reset, delay } = LinkFaultKind;

function disturb(
  kind: LinkFaultKind,
  [source, destination]: readonly [string, string],
  [from, to = from]: readonly [number, number?],
): LinkDisturbance {
  return { kind, source, destination, from, to };
}

function contactAt(
  at: number,
  ...disturbances: readonly LinkDisturbance[]
): Contact {
  return new LinkContacts({ control, disturbances }).contactOf("g", at, at);
}

/** Cuts a control VM off from the others. */
function isolate(vm: string, from: number, to: number) {
  return control.filter((each) => each !== vm).map((each) =>
    disturb(cut, [vm, each], [from, to])
  );
}

describe("contact over links that fail", () => {
  describe("of a gateway", () => {
    it("is full without faults", () => {
      expect(contactAt(10_000)).toBe(Contact.full);
    });

    it("ends with a path to one control VM, until contact is regained", () => {
      const fault = disturb(cut, ["g", "c0"], [10_000, 11_000]);
      expect(contactAt(9999, fault)).toBe(Contact.full);
      expect(contactAt(10_500, fault)).toBe(Contact.none);
      expect(contactAt(13_900, fault)).toBe(Contact.none);
      expect(contactAt(14_100, fault)).toBe(Contact.full);
    });

    it("does not need a control VM that most others do not reach", () => {
      const faults = [
        ...isolate("c0", 1000, Infinity),
        disturb(cut, ["g", "c0"], [10_000, 20_000]),
      ];
      expect(contactAt(15_000, ...faults)).toBe(Contact.full);
    });

    it("is not concerned by the links of other gateways", () => {
      expect(contactAt(10_000, disturb(cut, ["h", "c0"], [9000, 11_000])))
        .toBe(Contact.full);
    });

    it.each([reset, delay])("ends with a %s of its own links", (kind) => {
      const fault = disturb(kind, ["g", "c0"], [10_000]);
      expect(contactAt(12_900, fault)).toBe(Contact.none);
      expect(contactAt(13_100, fault)).toBe(Contact.full);
    });
  });

  describe("of silent connections", () => {
    // New connections work, so a VM has to detect it in time.
    it("is full after a single silence", () => {
      const faults = ["g", "c1"].map((each) =>
        disturb(silence, [each, "c0"], [10_000])
      );
      expect(contactAt(10_500, ...faults)).toBe(Contact.full);
    });

    it("ends when silences recur on a link", () => {
      const faults = [10_000, 11_500].map((at) =>
        disturb(silence, ["g", "c0"], [at])
      );
      expect(contactAt(10_500, ...faults)).toBe(Contact.none);
      expect(contactAt(14_400, ...faults)).toBe(Contact.none);
      expect(contactAt(14_600, ...faults)).toBe(Contact.full);
    });

    it("stays full between silences that are far apart", () => {
      const faults = [10_000, 13_100].map((at) =>
        disturb(silence, ["g", "c0"], [at])
      );
      expect(contactAt(13_500, ...faults)).toBe(Contact.full);
    });
  });

  describe("of control VMs", () => {
    it("is unsteady while one is cut off, and full once that lasts", () => {
      const faults = isolate("c0", 10_000, 20_000);
      expect(contactAt(10_500, ...faults)).toBe(Contact.unsteady);
      expect(contactAt(13_500, ...faults)).toBe(Contact.full);
      expect(contactAt(20_500, ...faults)).toBe(Contact.unsteady);
      expect(contactAt(23_500, ...faults)).toBe(Contact.full);
    });

    it("is unsteady after a reset between them", () => {
      const fault = disturb(reset, ["c1", "c0"], [10_000]);
      expect(contactAt(12_900, fault)).toBe(Contact.unsteady);
      expect(contactAt(13_100, fault)).toBe(Contact.full);
    });

    it("ends while no majority is connected, and for the stretch after it", () => {
      const faults = [
        ...isolate("c0", 10_000, 11_000),
        ...isolate("c1", 10_000, 11_000),
        ...isolate("c2", 10_000, 11_000),
      ];
      expect(contactAt(10_500, ...faults)).toBe(Contact.none);
      expect(contactAt(13_500, ...faults)).toBe(Contact.none);
      expect(contactAt(14_100, ...faults)).toBe(Contact.full);
    });

    it("ends while their links are slow", () => {
      const fault = disturb(delay, ["c1", "c0"], [10_000, 11_000]);
      expect(contactAt(10_500, fault)).toBe(Contact.none);
      expect(contactAt(13_900, fault)).toBe(Contact.none);
      expect(contactAt(14_100, fault)).toBe(Contact.full);
    });
  });
});
