import type { CrashSuspect } from "@kingcupglade/fleet";

/** Call of a gateway to the leader about requests whose runs may end targets. */
export type SuspectCall =
  /** A target ended while it ran the request. */
  | {
    readonly kind: "ended";
    readonly gateway: string;
    readonly digest: string;
    /** ID of the incarnation that ended. */
    readonly incarnation: string;
  }
  /** A run of the request ended by itself. */
  | {
    readonly kind: "ran";
    readonly gateway: string;
    readonly digest: string;
  }
  /** The attempt ended without showing anything. */
  | {
    readonly kind: "released";
    readonly gateway: string;
    readonly digest: string;
  }
  /** Asks whether the request may be attempted now. */
  | {
    readonly kind: "attempt";
    readonly gateway: string;
    readonly service: string;
    /** What the gateway knows of it, which a new leader may not. */
    readonly suspect: CrashSuspect;
    /** Time until the attempt has ended in any case. */
    readonly leftMilliseconds: number;
  };

/** Reply of a control VM to a {@link SuspectCall}. */
export type SuspectReply =
  | { readonly kind: "recorded" }
  | { readonly kind: "granted" }
  /** Another attempt is in progress. */
  | { readonly kind: "wait" }
  /** The request was cleared. */
  | { readonly kind: "clear" }
  | { readonly kind: "quarantined"; readonly suspect: CrashSuspect }
  /** This VM is not the leader. */
  | { readonly kind: "elsewhere" };
