import fc from "fast-check";

/** Values that are likely to break code written for well-formed input. */
const unexpectedValue: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom(
    null,
    undefined,
    true,
    0,
    -1,
    1.5,
    NaN,
    Number.MAX_SAFE_INTEGER + 1,
    "",
    "\0",
    "__proto__",
    "a".repeat(300),
    [],
    {},
  ),
  fc.anything({ maxDepth: 2 }),
);

/** Keys and indexes that lead from the root to a nested value. */
type Path = readonly (string | number)[];

/**
 * Generates copies of a valid value with one to three nested values replaced,
 * removed or added, and in one of ten cases an unrelated value.
 */
export function mutatedValue(valid: unknown): fc.Arbitrary<unknown> {
  const paths = listPaths(valid, []);
  const change = fc.record({
    path: fc.constantFrom(...paths),
    kind: fc.constantFrom("replace", "remove", "add" as const),
    key: fc.constantFrom("extra", "__proto__", "toString", "0"),
    value: unexpectedValue,
  });
  const mutated = fc.array(change, { minLength: 1, maxLength: 3 }).map(
    (changes) =>
      changes.reduce<unknown>(
        (value, each) => applyChange(value, each.path, each),
        structuredClone(valid),
      ),
  );
  return fc.oneof({ weight: 9, arbitrary: mutated }, {
    weight: 1,
    arbitrary: unexpectedValue,
  });
}

/**
 * Generates copies of a byte array with one to four mutations, and in one of
 * five cases unrelated bytes. A mutation replaces, removes or inserts a byte or
 * truncates the array.
 */
export function mutatedBytes(valid: Uint8Array): fc.Arbitrary<Uint8Array> {
  const change = fc.record({
    at: fc.nat({ max: Math.max(0, valid.length - 1) }),
    kind: fc.constantFrom("replace", "remove", "insert", "truncate" as const),
    byte: fc.nat({ max: 255 }),
  });
  const mutated = fc.array(change, { minLength: 1, maxLength: 4 }).map(
    (changes) => {
      const bytes = [...valid];
      for (const { at, kind, byte } of changes) {
        if (kind === "replace") bytes[at] = byte;
        else if (kind === "truncate") bytes.length = Math.min(bytes.length, at);
        else bytes.splice(at, ...spliceArguments(kind, byte));
      }
      return Uint8Array.from(bytes, (each) => each ?? 0);
    },
  );
  return fc.oneof({ weight: 4, arbitrary: mutated }, {
    weight: 1,
    arbitrary: fc.uint8Array({ maxLength: 64 }),
  });
}

function spliceArguments(
  kind: "remove" | "insert",
  byte: number,
): [number, ...number[]] {
  return kind === "remove" ? [1] : [0, byte];
}

function listPaths(value: unknown, path: Path): Path[] {
  if (value === null || typeof value !== "object") return [path];
  return [
    path,
    ...Object.entries(value).flatMap(([key, each]) =>
      listPaths(each, [...path, Array.isArray(value) ? Number(key) : key])
    ),
  ];
}

function applyChange(
  value: unknown,
  path: Path,
  change: {
    readonly kind: "replace" | "remove" | "add";
    readonly key: string;
    readonly value: unknown;
  },
): unknown {
  const [first, ...rest] = path;
  const isContainer = value !== null && typeof value === "object";
  if (first === undefined) {
    if (change.kind === "add" && isContainer) {
      return Array.isArray(value)
        ? [...value, change.value]
        : { ...value, [change.key]: change.value };
    }
    return change.kind === "remove" ? undefined : change.value;
  }
  if (!isContainer) return value;
  const fields = value as Record<string | number, unknown>;
  const changed = applyChange(fields[first], rest, change);
  if (Array.isArray(value)) {
    return changed === undefined
      ? value.filter((_, index) => index !== first)
      : value.map((each, index) => index === first ? changed : each);
  }
  const { [first]: _removed, ...others } = fields;
  return changed === undefined ? others : { ...others, [first]: changed };
}
