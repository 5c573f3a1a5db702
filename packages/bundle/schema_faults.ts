import { z } from "zod";
import type { BundleFault } from "./errors.ts";
import { nearestName } from "./nearest_name.ts";

/** Converts a schema validation issue into faults with their paths. */
export function describeIssue(
  schema: z.ZodType,
  issue: z.core.$ZodIssue,
): readonly BundleFault[] {
  if (issue.code === "unrecognized_keys") {
    const known = knownKeysAt(schema, issue.path);
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      message: describeUnknownKey(key, known),
    }));
  }
  const isMissing = issue.code === "invalid_type" &&
    issue.message.endsWith("received undefined");
  return [{
    path: formatPath(issue.path),
    message: isMissing ? "is missing; see docs/BUNDLE.md" : issue.message,
  }];
}

function describeUnknownKey(key: string, known: readonly string[]): string {
  const nearest = nearestName(key, known);
  return nearest === undefined
    ? `is unknown; the names are ${known.join(", ")}`
    : `is unknown; did you mean "${nearest}"?`;
}

function knownKeysAt(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  let inner: unknown = schema;
  for (const part of path) {
    if (inner instanceof z.ZodArray) inner = inner.element;
    else if (inner instanceof z.ZodObject) inner = inner.shape[String(part)];
  }
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === "number"
        ? `${text}[${part}]`
        : text === ""
        ? String(part)
        : `${text}.${String(part)}`,
    "",
  );
}
