import { CrashSuspects, Standing, SuspectAttempts } from "@kingcupglade/fleet";
import type { CrashSuspect, RevisionCounter } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { SuspectCall, SuspectReply } from "./suspect_call.ts";
import type { Watch } from "./watch.ts";

/** Added to the time after which an attempt has ended in any case. */
const attemptMarginMilliseconds = 300;
const maximumAttemptMilliseconds = 5000;

/** Options of a {@link SuspectDirectory}. */
export interface SuspectDirectoryOptions {
  readonly revisions: RevisionCounter;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * What all gateways know of requests whose runs may end targets, and the
 * attempts of them that are in progress.
 */
export class SuspectDirectory {
  readonly #options: SuspectDirectoryOptions;
  readonly #suspects = new CrashSuspects();
  readonly #attempts = new SuspectAttempts();
  #revision = 0;

  constructor(options: SuspectDirectoryOptions) {
    this.#options = options;
  }

  /** Revision of the last change that gateways must learn. */
  get revision(): number {
    return this.#revision;
  }

  /** Returns all suspects, as published to gateways. */
  all(): readonly CrashSuspect[] {
    return this.#suspects.all(this.#options.clock.now());
  }

  /** Takes over what a gateway knows from an earlier leader. */
  recordWatch({ suspects }: Watch): void {
    for (const suspect of suspects) this.#merge(suspect);
  }

  /** Handles a gateway's call. */
  handle(call: SuspectCall): SuspectReply {
    switch (call.kind) {
      case "ended":
        return this.#recordEnd(call);
      case "ran":
        this.#attempts.end(call.digest, call.gateway);
        return this.#clear(call);
      case "released":
        this.#attempts.end(call.digest, call.gateway);
        return { kind: "recorded" };
      case "attempt":
        return this.#attempt(call);
    }
  }

  /** Forgets what is outdated; called periodically. */
  tick(): void {
    if (this.#suspects.expire(this.#options.clock.now())) this.#publish();
  }

  #recordEnd(call: Extract<SuspectCall, { kind: "ended" }>): SuspectReply {
    const { clock, logger } = this.#options;
    const { gateway, digest, incarnation } = call;
    const now = clock.now();
    const isExclusive = this.#attempts.end(digest, gateway);
    const standing = this.#suspects.recordEnd(
      { digest, incarnation, isExclusive },
      now,
    );
    this.#publish();
    logger.info("suspect-ended-target", {
      digest,
      gateway,
      incarnation,
      isExclusive,
      standing,
      ends: this.#suspects.get(digest, now)?.ends.length ?? 0,
      refusedMilliseconds: Math.round(
        this.#suspects.refusedMilliseconds(digest, now),
      ),
    });
    return { kind: "recorded" };
  }

  #clear(call: Extract<SuspectCall, { kind: "ran" }>): SuspectReply {
    const { digest, gateway } = call;
    if (this.#suspects.clear(digest)) {
      this.#publish();
      this.#options.logger.info("suspect-cleared", { digest, gateway });
    }
    return { kind: "recorded" };
  }

  #attempt(call: Extract<SuspectCall, { kind: "attempt" }>): SuspectReply {
    const { clock, logger } = this.#options;
    const { gateway, service, suspect, leftMilliseconds } = call;
    const { digest } = suspect;
    const now = clock.now();
    this.#merge(suspect);
    const standing = this.#suspects.standing(digest, now);
    if (standing === Standing.quarantined) {
      return { kind: "quarantined", suspect: this.#suspects.get(digest, now)! };
    }
    if (standing === Standing.clear) return { kind: "clear" };
    const isExclusive = this.#suspects.needsExclusiveAttempt(digest);
    const isGranted = this.#attempts.request({
      digest,
      service,
      holder: gateway,
      isExclusive,
      expiresAt: now + attemptMarginMilliseconds +
        Math.min(leftMilliseconds, maximumAttemptMilliseconds),
    }, now);
    if (!isGranted) return { kind: "wait" };
    logger.info("suspect-attempted", { digest, gateway, service, isExclusive });
    return { kind: "granted" };
  }

  #merge(suspect: CrashSuspect): void {
    if (this.#suspects.merge(suspect, this.#options.clock.now())) {
      this.#publish();
    }
  }

  #publish(): void {
    this.#revision = this.#options.revisions.next();
  }
}
