/** A complete response that is stored for later requests. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
}

/** State of a claimed request; `content` is the digest of its content. */
export type ClaimRecord =
  /** The holder of the claim may be running the request. */
  | { readonly state: "open"; readonly content: string }
  /** The request ran; `answer` is null when it was too large to be stored. */
  | {
    readonly state: "done";
    readonly content: string;
    readonly answer: StoredResponse | null;
  }
  /** The request may have run. */
  | {
    readonly state: "unknown";
    readonly content: string;
    readonly reason: string;
  };

/** One update of a shard, as sent by its holder to its standby. */
export type LedgerUpdate =
  | {
    readonly kind: "put";
    readonly claim: string;
    readonly record: ClaimRecord;
    /** Remaining retention time of the record. */
    readonly remainingMilliseconds: number;
  }
  | { readonly kind: "remove"; readonly claim: string };

/** Updates of a shard, sent by its holder to its standby in order. */
export interface LedgerBatch {
  /** Fencing epoch: the epoch of the holder's role. */
  readonly epoch: number;
  /** Increases by one per batch; starts at 0 in every epoch. */
  readonly sequence: number;
  /** Whether the standby clears its copy first. */
  readonly first: boolean;
  /** Whether the copy is complete after this batch. */
  readonly last: boolean;
  /** Time for which a claim without a record still counts as lost. */
  readonly blockedMilliseconds: number;
  readonly updates: readonly LedgerUpdate[];
}

const recordOverheadBytes = 320;

/** Estimates the memory of a record in bytes. */
export function recordBytes(record: ClaimRecord): number {
  if (record.state !== "done" || !record.answer) return recordOverheadBytes;
  const { headers, body } = record.answer;
  return recordOverheadBytes + body.length + 2 * JSON.stringify(headers).length;
}
