/** Forms in which a caller may write the target of a request (RFC 9112, 3.2). */
export const TargetForm = {
  /** A path with an optional query. */
  origin: "origin",
  /** A whole URI, as callers send to a proxy. */
  absolute: "absolute",
  /** Anything else, as `*` of an OPTIONS request. */
  other: "other",
} as const;
export type TargetForm = typeof TargetForm[keyof typeof TargetForm];

/** Host and path by which the route of a request is found. */
export interface RequestTarget {
  readonly form: TargetForm;
  readonly host: string;
  /** With the query. */
  readonly path: string;
}

/** Reads the target of a request. */
export function readRequestTarget(request: {
  readonly url?: string | undefined;
  readonly headers: { readonly host?: string | undefined };
}): RequestTarget {
  const path = request.url ?? "/";
  return {
    form: formOf(path),
    host: (request.headers.host ?? "").replace(/:\d+$/, ""),
    path,
  };
}

function formOf(target: string): TargetForm {
  if (target.startsWith("/")) return TargetForm.origin;
  return /^https?:\/\//i.test(target) ? TargetForm.absolute : TargetForm.other;
}

const maximumHostCharacters = 100;
const maximumSegmentCharacters = 40;

/**
 * Returns what the log may hold of a target: the host and the first segment of
 * the path. The rest may contain keys of callers.
 */
export function describeTarget(
  { form, host, path }: RequestTarget,
): { readonly form: string; readonly host: string; readonly segment: string } {
  const [, segment = ""] = path.split(/[/?]/, 2);
  return {
    form,
    host: host.slice(0, maximumHostCharacters),
    segment: segment.slice(0, maximumSegmentCharacters),
  };
}
