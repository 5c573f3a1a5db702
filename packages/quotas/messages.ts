/** What a gateway reports of one workspace. */
export type QuotaReportRow = readonly [
  workspace: string,
  /** Allowance that the gateway holds. */
  held: number,
  /** Requests that callers sent to the gateway in the last window. */
  demand: number,
];

/** Report of a gateway to the leader. */
export interface QuotaReport {
  /** Rises with each report of an incarnation of the gateway. */
  readonly number: number;
  /** Distinguishes a gateway from the one before its restart. */
  readonly incarnation: string;
  /** Number of the latest report whose answer was applied; 0 for none. */
  readonly applied: number;
  /** Whether workspaces without a row have no allowance and no demand. */
  readonly isWhole: boolean;
  /** Workspaces whose values the leader may not know. */
  readonly rows: readonly QuotaReportRow[];
}

/** Allowance of a gateway for one workspace, as the leader sets it. */
export type QuotaAnswerRow = readonly [workspace: string, allowance: number];

/** Answer of the leader to one report. */
export interface QuotaAnswer {
  /** Term of the leader. */
  readonly term: number;
  /** Number of the report that is answered. */
  readonly number: number;
  /**
   * Time since a quorum last confirmed the leader, in milliseconds. The lease
   * counts from the report, minus this time, so that it ends in time if the
   * leader was replaced.
   */
  readonly confirmedAgeMilliseconds: number;
  /** Whether the leader needs a whole report before it lends anything. */
  readonly needsWhole: boolean;
  /** Allowances that differ from those reported. */
  readonly rows: readonly QuotaAnswerRow[];
}

/**
 * A {@link QuotaReport} as it is sent: its values in the order of the fields.
 * Reports are sent once a second by each gateway, so that names would be most of
 * their bytes.
 */
export type PackedReport = readonly [
  number: number,
  incarnation: string,
  applied: number,
  isWhole: number,
  ...rows: QuotaReportRow[],
];

/** A {@link QuotaAnswer} as it is sent. */
export type PackedAnswer = readonly [
  term: number,
  number: number,
  confirmedAgeMilliseconds: number,
  needsWhole: number,
  ...rows: QuotaAnswerRow[],
];

/** Call of a gateway that is short of allowance. */
export interface QuotaCall {
  readonly gateway: string;
  readonly report: PackedReport;
}

/** Reply to a {@link QuotaCall}; null if this VM is not the leader. */
export interface QuotaReply {
  readonly answer: PackedAnswer | null;
}

export function packReport(report: QuotaReport): PackedReport {
  const { number, incarnation, applied, isWhole, rows } = report;
  return [number, incarnation, applied, isWhole ? 1 : 0, ...rows];
}

/** Reads a report. Returns undefined if a VM of an earlier release sent none. */
export function unpackReport(packed: unknown): QuotaReport | undefined {
  if (!Array.isArray(packed) || packed.length === 0) return undefined;
  const [number, incarnation, applied, isWhole, ...rows] =
    packed as unknown as PackedReport;
  return { number, incarnation, applied, isWhole: isWhole === 1, rows };
}

export function packAnswer(answer: QuotaAnswer): PackedAnswer {
  const { term, number, confirmedAgeMilliseconds, needsWhole } = answer;
  return [
    term,
    number,
    Math.ceil(confirmedAgeMilliseconds),
    needsWhole ? 1 : 0,
    ...answer.rows,
  ];
}

/** Reads an answer. Returns undefined if a VM of an earlier release sent none. */
export function unpackAnswer(packed: unknown): QuotaAnswer | undefined {
  if (!Array.isArray(packed) || packed.length === 0) return undefined;
  const [term, number, confirmedAgeMilliseconds, needsWhole, ...rows] =
    packed as unknown as PackedAnswer;
  return {
    term,
    number,
    confirmedAgeMilliseconds,
    needsWhole: needsWhole === 1,
    rows,
  };
}
