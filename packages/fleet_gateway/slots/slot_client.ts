import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { SlotEnd, SlotMessage, SlotRequest } from "./slot_messages.ts";

/**
 * A request without a reply is sent again after this delay times the number of
 * transmissions, as datagrams may be lost. Across two regions a reply takes
 * 20 ms.
 */
const repeatMilliseconds = 80;
/** Transmissions without a reply after which a request is abandoned. */
const maximumUnanswered = 3;
/** A queued request is sent again after this long: its grant may be lost. */
const reviewMilliseconds = 600;
/**
 * A manager that has sent nothing for this long becomes suspect. Its replies
 * may be queued behind large responses on its link for nearly as long.
 */
const silenceMilliseconds = 700;
/** A manager is suspect for this long; each further failure doubles it. */
const initialSuspicionMilliseconds = 500;
const maximumSuspicionMilliseconds = 4000;

/** Receives the events of a slot request. */
export interface SlotListener {
  granted(target: string): void;
  /** The request is queued; a slot is expected after this time. */
  waits(waitMilliseconds: number): void;
  refused(reason: string, waitMilliseconds: number): void;
  /** The manager has not replied to the first transmission. */
  late(): void;
  /** The manager does not reply, or does not know the route or service. */
  unavailable(): void;
}

/** Handle of a slot request and of the slot that it was granted. */
export interface SlotTicket {
  /** Releases the slot, or cancels the request. */
  end(use: SlotEnd["use"]): void;
}

/** Options of {@link SlotClient}. */
export interface SlotClientOptions {
  readonly send: (message: SlotMessage, to: string) => void;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Whether replies wait for the link of this VM. @default never */
  readonly isLinkFull?: () => boolean;
}

interface PendingRequest {
  readonly request: SlotRequest;
  readonly manager: string;
  readonly listener: SlotListener;
  unanswered: number;
  timer: NodeJS.Timeout | undefined;
}

interface Suspicion {
  milliseconds: number;
  until: number;
}

/** The first ID of a client is lower than this. */
const initialIdLimit = 2 ** 47;

/** Requests slots from managers and releases them. */
export class SlotClient {
  readonly #options: SlotClientOptions;
  readonly #pending = new Map<number, PendingRequest>();
  /** IDs of slots that were granted and not released. */
  readonly #held = new Set<number>();
  /** Time of the last message from each manager. */
  readonly #lastContactAt = new Map<string, number>();
  readonly #suspicions = new Map<string, Suspicion>();
  /** Starts at random, so that IDs do not repeat after a restart of the VM. */
  #nextId: number;

  constructor(options: SlotClientOptions) {
    this.#options = options;
    this.#nextId = Math.floor(options.random() * initialIdLimit);
  }

  /** Whether a manager, at IP:PORT, is not suspected of being unreachable. */
  isHealthy(manager: string): boolean {
    const suspicion = this.#suspicions.get(manager);
    return !suspicion || this.#options.clock.now() >= suspicion.until;
  }

  /** Requests a slot from a manager, at IP:PORT. */
  requestSlot(
    manager: string,
    request: Omit<SlotRequest, "kind" | "id">,
    listener: SlotListener,
  ): SlotTicket {
    const id = this.#nextId++;
    const pending: PendingRequest = {
      request: { kind: "request", id, ...request },
      manager,
      listener,
      unanswered: 0,
      timer: undefined,
    };
    this.#pending.set(id, pending);
    if (!this.#lastContactAt.has(manager)) {
      this.#lastContactAt.set(manager, this.#options.clock.now());
    }
    this.#send(pending, repeatMilliseconds);
    return { end: (use) => this.#end(pending, use) };
  }

  /** Handles a manager's message. */
  receive(message: SlotMessage, from: string): void {
    const { id } = message;
    this.#lastContactAt.set(from, this.#options.clock.now());
    this.#suspicions.delete(from);
    const pending = this.#pending.get(id);
    if (!pending || pending.manager !== from) {
      // A slot whose request is no longer pending is released.
      if (message.kind === "grant" && !this.#held.has(id)) {
        this.#options.send({ kind: "end", id, use: null }, from);
      }
      return;
    }
    pending.unanswered = 0;
    clearTimeout(pending.timer);
    switch (message.kind) {
      case "wait":
        this.#scheduleReview(pending, reviewMilliseconds);
        return pending.listener.waits(message.waitMilliseconds);
      case "grant":
        this.#pending.delete(id);
        this.#held.add(id);
        return pending.listener.granted(message.target);
      case "refuse":
        this.#pending.delete(id);
        if (message.isUnknown) return pending.listener.unavailable();
        return pending.listener.refused(
          message.reason,
          message.waitMilliseconds,
        );
    }
  }

  close(): void {
    for (const { timer } of this.#pending.values()) clearTimeout(timer);
    this.#pending.clear();
  }

  #send(pending: PendingRequest, waitMilliseconds: number): void {
    pending.unanswered += 1;
    this.#options.send(pending.request, pending.manager);
    this.#scheduleReview(pending, waitMilliseconds);
  }

  #scheduleReview(pending: PendingRequest, milliseconds: number): void {
    pending.timer = setTimeout(() => this.#review(pending), milliseconds);
  }

  #review(pending: PendingRequest): void {
    const { request, listener } = pending;
    if (pending.unanswered < maximumUnanswered) {
      const isFirst = pending.unanswered === 1;
      this.#send(pending, repeatMilliseconds * (pending.unanswered + 1));
      if (isFirst) listener.late();
      return;
    }
    this.#pending.delete(request.id);
    this.#suspect(pending.manager);
    listener.unavailable();
  }

  #suspect(manager: string): void {
    const { clock, logger, isLinkFull } = this.#options;
    if (isLinkFull?.()) return;
    const now = clock.now();
    const lastContactAt = this.#lastContactAt.get(manager) ?? now;
    if (now - lastContactAt < silenceMilliseconds) return;
    const known = this.#suspicions.get(manager);
    // Requests that were sent at the same time fail at the same time, and count
    // as one failure.
    if (known && now < known.until) return;
    const milliseconds = known
      ? Math.min(maximumSuspicionMilliseconds, known.milliseconds * 2)
      : initialSuspicionMilliseconds;
    this.#suspicions.set(manager, { milliseconds, until: now + milliseconds });
    logger.warn("manager-silent", { manager, milliseconds });
  }

  #end({ request, manager, timer }: PendingRequest, use: SlotEnd["use"]): void {
    clearTimeout(timer);
    this.#pending.delete(request.id);
    this.#held.delete(request.id);
    this.#options.send({ kind: "end", id: request.id, use }, manager);
  }
}
