import { largeBytes } from "@kingcupglade/link";
import type {
  HeldShare,
  LinkScheduler,
  LinkTicket,
  Transfer,
} from "@kingcupglade/link";
import { LinkDirection } from "./link_direction.ts";
import type { GatewayLink } from "./gateway_link.ts";

/** One direction of the passage of a large response. */
export interface PassageTransfer {
  /** Bytes that may be moved without asking. */
  readonly credit: number;
  /** Asks for the next slice; the grant may come before this returns. */
  request(wantedBytes: number): void;
  /** Records bytes that were moved. */
  record(bytes: number): void;
  end(): void;
}

/** Options of a {@link LinkPassage}. */
export interface LinkPassageOptions {
  readonly link: GatewayLink;
  readonly ticket: LinkTicket;
  /** Name of the route of the request. */
  readonly route: string;
}

/** The passage of one request's response over the link, in both directions. */
export class LinkPassage {
  readonly #options: LinkPassageOptions;
  readonly #transfers = new Set<PassageTransfer>();
  readonly #share: HeldShare;
  /** Ends the exchange, as others need the memory that it holds. */
  onLetGo: () => void = () => {};
  #hasEnded = false;

  constructor(options: LinkPassageOptions) {
    this.#options = options;
    const { link, route } = options;
    this.#share = link.held.open((what) => {
      link.recordLetGo(route, what);
      this.onLetGo();
    }, link.now);
  }

  /** Records bytes that are held from now on, or no more if negative. */
  hold(bytes: number): void {
    this.#share.add(bytes, this.#options.link.now);
  }

  /** Records that the request is sent on. */
  recordSent(): void {
    if (this.#hasEnded) return;
    this.#options.link.admission.recordSent(this.#options.ticket);
  }

  /** Records the size of the response, which its head states. */
  recordSize(bytes: number): void {
    if (this.#hasEnded) return;
    const { link, ticket } = this.#options;
    link.admission.resize(ticket, { bytesIn: bytes, bytesOut: bytes });
  }

  /** Records that all of the response was received. */
  recordReceived(bytes: number): void {
    if (this.#hasEnded) return;
    const { link, ticket } = this.#options;
    link.admission.resize(ticket, { bytesIn: 0, bytesOut: bytes });
  }

  /** Teaches the size of a response, and the time until its head arrived. */
  learn(bytes: number, headMilliseconds: number): void {
    const { link, route } = this.#options;
    link.profiles.record(route, { bytes, headMilliseconds });
  }

  /** Counts bytes of a small response. */
  countSmall(direction: LinkDirection, bytes: number): void {
    const { link } = this.#options;
    link.count(direction, bytes);
    this.#recordMoved(direction, bytes);
  }

  /** Begins to read a large response; `granted` tells how much may be read. */
  openRead(granted: (bytes: number) => void): PassageTransfer {
    return this.#open(LinkDirection.inbound, granted);
  }

  /** Begins to write a large response. */
  openWrite(granted: (bytes: number) => void): PassageTransfer {
    return this.#open(LinkDirection.outbound, granted);
  }

  /** Ends the passage; its share of the link is free for others. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#share.end();
    const { link, ticket } = this.#options;
    for (const transfer of this.#transfers) transfer.end();
    link.admission.end(ticket);
  }

  #open(
    direction: LinkDirection,
    granted: (bytes: number) => void,
  ): PassageTransfer {
    const { link, ticket } = this.#options;
    const scheduler: LinkScheduler = direction === LinkDirection.inbound
      ? link.inbound
      : link.outbound;
    const { priority, deadlineAt } = ticket;
    const inner: Transfer = scheduler.open(
      { priority, deadlineAt, granted },
      link.now,
    );
    if (this.#hasEnded) scheduler.end(inner);
    const transfer: PassageTransfer = {
      get credit() {
        return inner.credit;
      },
      request: (wantedBytes) => {
        scheduler.request(inner, wantedBytes, link.now);
        link.advance();
      },
      record: (bytes) => {
        scheduler.record(inner, bytes, link.now);
        link.countLarge(direction, bytes);
        this.#recordMoved(direction, bytes);
      },
      end: () => {
        this.#transfers.delete(transfer);
        scheduler.end(inner);
        link.advance();
      },
    };
    this.#transfers.add(transfer);
    return transfer;
  }

  #recordMoved(direction: LinkDirection, bytes: number): void {
    if (this.#hasEnded) return;
    const { link: { admission }, ticket } = this.#options;
    if (direction === LinkDirection.inbound) admission.recordIn(ticket, bytes);
    else admission.recordOut(ticket, bytes);
  }
}

/** Whether a response of that size is paced. */
export function isLargeResponse(bytes: number): boolean {
  return bytes > largeBytes;
}
