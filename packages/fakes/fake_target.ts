import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { formatAnnouncement } from "./format_announcement.ts";
import { coversRequest, isBefore, noPush } from "./grant_message.ts";
import type {
  AnnouncementResponse,
  GrantMessage,
  HeldGrant,
  PushOrder,
} from "./grant_message.ts";
import { simulateWork } from "./simulate_work.ts";
import type {
  FakeCondition,
  FakeTargetOptions,
} from "./fake_target_options.ts";

const announceIntervalMilliseconds = 300;
const announceTimeoutMilliseconds = 1000;
const idleCheckIntervalMilliseconds = 5;

/**
 * Simulates a server that owns keys: announces itself, accepts fenced grants,
 * executes requests and records events.
 */
export class FakeTarget {
  readonly #options: Required<FakeTargetOptions>;
  readonly #server: Server;
  #boot: string = randomUUID();
  #grants: readonly HeldGrant[] = [];
  #latestPush: PushOrder = noPush;
  #appliedPush: PushOrder = noPush;
  #leaseUntil = -Infinity;
  #announceTimer: NodeJS.Timeout | undefined;
  #inProgress = 0;
  #coldRequestsLeft = 0;
  #nextVm = 0;
  #untilThawed: Promise<void> | undefined;
  #resolveThaw: () => void = () => {};

  #condition: FakeCondition;
  /** Duration of a request, in milliseconds. */
  serviceMilliseconds: number;

  constructor(options: FakeTargetOptions) {
    this.#options = {
      slots: 6,
      connections: 110,
      coldSlots: 1,
      checksFences: true,
      condition: "serving",
      serviceMilliseconds: 2,
      cancelsOnDisconnect: false,
      roundTripMilliseconds: () => 0,
      untilDelivered: () => undefined,
      ...options,
    };
    this.#condition = this.#options.condition;
    this.serviceMilliseconds = this.#options.serviceMilliseconds;
    this.#server = createServer(
      { keepAliveTimeout: 30_000 },
      (request, response) => {
        // A request whose sender disconnected is not executed.
        this.#handleRequest(request, response).catch(() => response.destroy());
      },
    );
  }

  /** Name of the target. */
  get name(): string {
    return this.#options.name;
  }

  /** Data centre of the target. */
  get dataCentre(): string {
    return this.#options.dataCentre;
  }

  /** Condition that the target announces. */
  get condition(): FakeCondition {
    return this.#condition;
  }

  set condition(condition: FakeCondition) {
    this.#condition = condition;
    this.#recordCondition("condition", condition);
  }

  /**
   * Makes the target cold without an announcement: it sheds requests that
   * exceed its cold slots until it has executed the given number of requests.
   */
  turnColdUnannounced(options: { readonly requests: number }): void {
    this.#coldRequestsLeft = options.requests;
  }

  /** Number of requests in progress. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Identity of the current incarnation. */
  get boot(): string {
    return this.#boot;
  }

  /** Grants held under a valid lease; empty when the lease has lapsed. */
  get grants(): readonly HeldGrant[] {
    return this.#grantsAt(performance.now());
  }

  #grantsAt(now: number): readonly HeldGrant[] {
    return now < this.#leaseUntil ? this.#grants : [];
  }

  /** Opens the listener and starts periodic announcements. */
  async start(): Promise<void> {
    const [host, port] = this.#options.address.split(":");
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port: Number(port), backlog: 1024 }, resolve);
    });
    this.#recordCondition("condition", this.#condition);
    void this.#announce();
    this.#announceTimer = setInterval(
      () => void this.#announce(),
      announceIntervalMilliseconds,
    );
  }

  /** Stops the target abruptly, as a crash would. */
  kill(): void {
    this.#recordFault("crash");
    this.#close();
  }

  #close(): void {
    clearInterval(this.#announceTimer);
    this.#dropGrants();
    this.#boot = "";
    this.#leaseUntil = -Infinity;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Starts the target again after {@link kill}, with a new boot identity. */
  async restart(): Promise<void> {
    this.#boot = randomUUID();
    this.#latestPush = noPush;
    this.#appliedPush = noPush;
    this.#inProgress = 0;
    await this.start();
  }

  /** Suspends all activity, as a paused process would, until {@link thaw}. */
  freeze(): void {
    this.#recordFault("freeze");
    this.#untilThawed ??= new Promise((
      resolve,
    ) => (this.#resolveThaw = resolve));
  }

  /** Resumes after {@link freeze}. */
  thaw(): void {
    this.#recordFault("thaw");
    this.#untilThawed = undefined;
    this.#resolveThaw();
  }

  /** Keeps running without connections, as in a network partition. */
  isolate(): void {
    clearInterval(this.#announceTimer);
    this.#server.on("connection", (socket) => socket.destroy())
      .closeAllConnections();
  }

  /** Performs a planned stop: waits until no request is in progress. */
  async stop(): Promise<void> {
    const { history } = this.#options;
    history.record({
      kind: "stopping",
      subject: "target",
      name: this.name,
      address: "",
    });
    while (this.#inProgress > 0) {
      await pause(idleCheckIntervalMilliseconds);
    }
    history.record({ kind: "stopped", subject: "target", name: this.name });
    this.#close();
  }

  /** Sends an announcement immediately, such as after a change of condition. */
  async announceNow(): Promise<void> {
    await this.#announce();
  }

  async #announce(): Promise<void> {
    if (this.#untilThawed) return;
    const options = this.#options;
    const boot = this.#boot;
    const sentAt = performance.now();
    const condition = this.#condition;
    const appliedPush = sentAt < this.#leaseUntil ? this.#appliedPush : noPush;
    const vmAddress = options.announceAddresses[
      this.#nextVm % options.announceAddresses.length
    ];
    try {
      const { statusCode, body } = await sendRequest(
        `http://${vmAddress}/announce`,
        {
          method: "POST",
          headers: { authorization: `Bearer ${options.secret}` },
          body: formatAnnouncement(options, {
            boot,
            condition,
            actsOn: appliedPush,
          }),
          signal: AbortSignal.timeout(announceTimeoutMilliseconds),
        },
      );
      const response = await body.json() as AnnouncementResponse;
      await this.#untilThawed;
      if (boot !== this.#boot) return;
      if (statusCode === 200 && response.leaseMilliseconds) {
        this.#renewLease(
          sentAt + response.leaseMilliseconds,
          response.grantsFrom,
        );
        this.#recordCondition("announced", condition);
      }
      if (statusCode === 503) this.#nextVm += 1;
    } catch {
      this.#nextVm += 1;
    }
  }

  // Grants expire with the lease under which they were received.
  #renewLease(until: number, grantsFrom: PushOrder = noPush): void {
    if (performance.now() >= this.#leaseUntil) {
      this.#dropGrants();
      // A push from before the lapse may grant ranges that another target owns.
      if (isBefore(this.#latestPush, grantsFrom)) this.#latestPush = grantsFrom;
    }
    this.#leaseUntil = Math.max(this.#leaseUntil, until);
    this.#options.history.record({
      kind: "leased",
      target: this.name,
      boot: this.#boot,
      until: this.#leaseUntil,
    });
  }

  #recordCondition(kind: "condition" | "announced", condition: string): void {
    this.#options.history.record({
      kind,
      target: this.name,
      boot: this.#boot,
      condition,
    });
  }

  #recordFault(fault: "crash" | "freeze" | "thaw"): void {
    this.#options.history.record({
      kind: "fault",
      subject: "target",
      name: this.name,
      fault,
    });
  }

  #dropGrants(): void {
    this.#appliedPush = noPush;
    if (this.#grants.length === 0) return;
    this.#grants = [];
    this.#options.history.record({
      kind: "lapsed",
      target: this.name,
      boot: this.#boot,
    });
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange = request.headers["kingcupglade-exchange"];
    if (exchange) response.setHeader("kingcupglade-exchange", exchange);
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const senderIp = request.socket.remoteAddress ?? "";
    await this.#options.untilDelivered(senderIp);
    await this.#untilThawed;
    if (request.method === "PUT" && request.url === "/kingcupglade/grants") {
      return this.#applyGrants(Buffer.concat(chunks), response);
    }
    const delay = this.#options.roundTripMilliseconds(senderIp);
    if (delay > 0) await pause(delay);
    await this.#execute(request, response);
  }

  #applyGrants(body: Buffer, response: ServerResponse): void {
    const message = JSON.parse(body.toString()) as GrantMessage;
    const { version, sequence } = message;
    if (message.boot !== this.#boot || isBefore(message, this.#latestPush)) {
      return void response.writeHead(409).end();
    }
    this.#latestPush = this.#appliedPush = { version, sequence };
    this.#grants = message.grants;
    this.#options.history.record({
      kind: "granted",
      target: this.name,
      boot: this.#boot,
      grants: message.grants,
    });
    response.writeHead(204).end();
  }

  async #execute(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { history, checksFences, slots, coldSlots, cancelsOnDisconnect } =
      this.#options;
    const id = String(request.headers["x-request"] ?? "");
    const group = String(request.headers["kingcupglade-group"] ?? "");
    const position = Number(request.headers["kingcupglade-position"] ?? -1);
    const epoch = Number(request.headers["kingcupglade-epoch"] ?? 0);
    const subject = { group, position, epoch };
    if (
      group !== "" && checksFences && !coversRequest(this.grants, subject)
    ) {
      return this.#refuse(response, { id, reason: "fenced" });
    }
    if (this.#coldRequestsLeft > 0 && this.#inProgress >= coldSlots) {
      return this.#refuse(response, { id, reason: "shed" });
    }
    const boot = this.#boot;
    const limit = this.condition === "cold" ? coldSlots : slots;
    this.#inProgress += 1;
    history.record({
      kind: "started",
      target: this.name,
      boot: this.#boot,
      request: id,
      group,
      position,
      epoch,
      inProgress: this.#inProgress,
      limit,
      service: this.#options.service,
      dataCentre: this.#options.dataCentre,
      condition: this.#condition,
      checksFences,
    });
    const isCancelled = await simulateWork(this.serviceMilliseconds, {
      cancelledBy: cancelsOnDisconnect ? response : undefined,
    });
    await this.#untilThawed;
    if (boot !== this.#boot) return;
    this.#inProgress -= 1;
    this.#coldRequestsLeft = Math.max(0, this.#coldRequestsLeft - 1);
    if (isCancelled) {
      return history.record({ kind: "ended", target: this.name, request: id });
    }
    const effectAt = performance.now();
    if (
      group !== "" && checksFences &&
      !coversRequest(this.#grantsAt(effectAt), subject)
    ) {
      history.record({ kind: "ended", target: this.name, request: id });
      return this.#refuse(response, { id, reason: "fenced" });
    }
    history.recordAt(effectAt, {
      kind: "effect",
      target: this.name,
      request: id,
      idempotent: request.method === "GET",
    });
    history.record({ kind: "ended", target: this.name, request: id });
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ request: id, target: this.name, epoch }));
  }

  #refuse(
    response: ServerResponse,
    refusal: { readonly id: string; readonly reason: string },
  ): void {
    this.#options.history.record({
      kind: "refused",
      target: this.name,
      request: refusal.id,
      reason: refusal.reason,
    });
    response.writeHead(409, {
      "kingcupglade-outcome": "not-run",
      "kingcupglade-reason": refusal.reason,
    }).end();
  }
}
