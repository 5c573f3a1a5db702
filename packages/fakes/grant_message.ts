/** A range that a target may serve. */
export interface HeldGrant {
  readonly group: string;
  readonly start: number;
  readonly end: number;
  readonly epoch: number;
}

/** A push of grants; later ones have a higher version or sequence. */
export interface GrantMessage {
  readonly boot: string;
  readonly version: number;
  readonly sequence: number;
  readonly grants: readonly HeldGrant[];
}

/** The number of no push. */
export const noGrants: Pick<GrantMessage, "version" | "sequence"> = {
  version: 0,
  sequence: 0,
};
