import { createServer, request as send } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { GrantedRange } from "@kingcupglade/fleet";
import {
  decodeHeartbeatResponse,
  encodeHeartbeat,
  readWorkerRequest,
  SimulatorPath,
  workerHeaders,
} from "@kingcupglade/platform";
import { callControl } from "./control_call.ts";
import {
  chooseFraming,
  createBody,
  Framing,
  sendResponse,
} from "./soak_response.ts";
import type { WorkspaceMonitors } from "./workspace_monitors.ts";
import type { LeaveRecord } from "./leave_record.ts";
import type { InvariantMonitor, PositionHolder } from "./invariant_monitor.ts";

const heartbeatMilliseconds = 250;
const responseTimeoutMilliseconds = 900;
const slots = 4;
/** Pause that a target asks for. */
const pauseSeconds = 1.2;
/** Path of the request that ends each target that runs it. */
export const crashingPath = "/lookup/crash";
/** Path of requests that run long, and longer than their callers stay. */
export const longPath = "/lookup/long";
const longRunMilliseconds = 2000;
/** Time from the start of a run that ends its target to that end. */
const crashMilliseconds = 40;
const restartMilliseconds = 1000;
const okStatus = 200;
/** A leaving target exits without an acknowledgement after so many calls. */
const maximumLeaveAttempts = 8;
/** Share of the responses without length or chunks that are cut at any time. */
const openCutShare = 0.05;

/** Options of a {@link SoakTarget}. */
export interface SoakTargetOptions {
  readonly name: string;
  readonly service: string;
  readonly isKeyed: boolean;
  /** IP:PORT. */
  readonly address: string;
  /** IP:PORT of every control VM. */
  readonly control: readonly string[];
  readonly monitor: InvariantMonitor;
  /** Judges what it receives of keys and workspaces; nothing by default. */
  readonly workspaces?: WorkspaceMonitors;
  /** Judges what it receives after it has left; nothing by default. */
  readonly leaves?: LeaveRecord;
  /** Requests per second that it accepts from all gateways; none by default. */
  readonly maximumPerSecond?: number;
  readonly random: () => number;
}

/** A simulated target; a keyed one runs only requests for held positions. */
export class SoakTarget implements PositionHolder {
  readonly name: string;
  /** Share of the requests that run but whose response is lost. */
  lostResponseShare = 0;
  /** Share of the responses whose connection ends in order in their middle. */
  cutResponseShare = 0;
  /** Share of the responses of which a copy follows late. */
  repeatedResponseShare = 0;
  /** Whether it says in its responses that it leaves. */
  isLeaving = false;
  /** Whether it turns requests away and asks for a pause. */
  isPausing = false;
  /** Whether the target sends no heartbeats while it continues to serve. */
  isIsolated = false;
  readonly #options: SoakTargetOptions;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #sequence = 0;
  #bornAt = 0;
  #incarnation = 0;
  #isEnded = false;
  #controlIndex = 0;
  #grants: readonly GrantedRange[] = [];
  #heldUntil = -Infinity;
  #isDraining = false;

  constructor(options: SoakTargetOptions) {
    this.name = options.name;
    this.#options = options;
    const { monitor, isKeyed, maximumPerSecond } = options;
    if (isKeyed) monitor.watch(this);
    if (maximumPerSecond !== undefined) {
      monitor.addLimit({ target: this.name, perSecond: maximumPerSecond });
    }
  }

  holds(position: number): boolean {
    return this.#server !== undefined && performance.now() < this.#heldUntil &&
      this.#grants.some(({ from, to }) => position >= from && position <= to);
  }

  /** Starts a new incarnation without any holds, unless one is running. */
  async start(): Promise<void> {
    if (this.#server) return;
    const [ip, port] = this.#options.address.split(":");
    this.#incarnation += 1;
    this.isLeaving = false;
    this.#options.monitor.recordStart(this.name);
    this.#sequence = 0;
    this.#bornAt = Date.now();
    this.#grants = [];
    const server = createServer((request, response) =>
      this.#handleRequest(request, response)
    );
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(Number(port), ip, resolve)
    );
    // The target may have crashed meanwhile.
    if (this.#server !== server) return;
    this.#timer = setInterval(
      () => this.#sendHeartbeat(),
      heartbeatMilliseconds,
    );
  }

  /** Ends the current incarnation immediately. */
  crash(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
    this.#heldUntil = -Infinity;
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const { isKeyed, monitor, random, maximumPerSecond } = this.#options;
    const limit = maximumPerSecond === undefined ? {} : { maximumPerSecond };
    const { id, target, position } = readWorkerRequest(request.headers);
    monitor.recordArrival(id, this.name);
    this.#recordCredentials(id, request);
    const isAccepted = target === this.name &&
      (!isKeyed || this.holds(position));
    if (!isAccepted) {
      response.writeHead(421, workerHeaders({ id, didNotRun: true })).end();
      return;
    }
    const { isLeaving } = this;
    if (this.isPausing) {
      const head = { id, didNotRun: true, isLeaving, pauseSeconds };
      response.writeHead(503, workerHeaders(head)).end();
      monitor.recordPause(id, this.name, pauseSeconds * 1000);
      return;
    }
    monitor.recordExecution(id, this.name);
    this.#options.leaves?.recordRun(id, this.name);
    if (request.url === crashingPath) return this.#crashAndRestart();
    if (request.url === longPath) return this.#runLong(id, response);
    if (isKeyed) monitor.checkOwner(id, { target: this.name, position });
    setTimeout(() => {
      if (random() < this.lostResponseShare) return request.socket.destroy();
      const head = { id, didNotRun: false, isLeaving, ...limit };
      const body = createBody(id);
      const isRepeated = random() < this.repeatedResponseShare;
      // A copy in a body that nothing delimits cannot be told from it.
      const framing = this.repeatedResponseShare > 0
        ? Framing.length
        : chooseFraming(body, random);
      sendResponse(request, response, {
        headers: workerHeaders(head),
        body,
        framing,
        isCut: random() < Math.max(
          this.cutResponseShare,
          framing === Framing.connection ? openCutShare : 0,
        ),
        isRepeated,
        random,
        onSent: () => {
          // A response that the gateway does not wait for tells it nothing.
          if (isLeaving && !request.socket.destroyed) {
            monitor.recordLeaving(id, this.name);
          }
        },
      });
    }, 5 + random() * 40);
  }

  #recordCredentials(id: string, request: IncomingMessage): void {
    const { workspaces } = this.#options;
    if (!workspaces) return;
    const { rawHeaders, url = "" } = request;
    const arrival = { target: this.name, path: url, fields: rawHeaders };
    workspaces.recordArrival(id, arrival);
    request.resume().once("end", () => {
      const { rawTrailers } = request;
      if (rawTrailers.length === 0) return;
      const fields = [...rawHeaders, ...rawTrailers];
      workspaces.recordTrailers(id, { ...arrival, fields });
    });
  }

  // As most targets do, stops when the connection closes.
  #runLong(id: string, response: ServerResponse): void {
    const plannedEnd = performance.now() + longRunMilliseconds;
    const timer = setTimeout(
      () =>
        response.writeHead(200, workerHeaders({ id, didNotRun: false })).end(),
      longRunMilliseconds,
    );
    response.once("close", () => {
      clearTimeout(timer);
      this.#options.monitor.departures.recordRun(id, plannedEnd);
    });
  }

  // Ends the incarnation that runs the request, and starts the next one later.
  #crashAndRestart(): void {
    const incarnation = this.#incarnation;
    setTimeout(() => {
      if (incarnation !== this.#incarnation || !this.#server) return;
      this.#options.monitor.recordCrash();
      this.crash();
      setTimeout(() => {
        const isRestarted = incarnation !== this.#incarnation;
        if (!isRestarted && !this.#isEnded) void this.start();
      }, restartMilliseconds);
    }, crashMilliseconds);
  }

  /**
   * Says that it leaves, by a heartbeat or by an order to remove it, and serves
   * on. Its record gets the first acknowledgement.
   */
  async leave(isRemoved: boolean): Promise<void> {
    const { control, leaves, random } = this.#options;
    this.#isDraining = true;
    if (isRemoved) clearInterval(this.#timer);
    for (let attempt = 0; attempt < maximumLeaveAttempts; attempt += 1) {
      const address = control[Math.floor(random() * control.length)]!;
      const status = isRemoved
        ? await this.#remove(address)
        : await this.#announceLeave(address);
      if (status !== okStatus) continue;
      leaves?.recordLeave(this.name, performance.now());
      return;
    }
  }

  async #remove(address: string): Promise<number> {
    const path = SimulatorPath.worker(this.name);
    return (await callControl(address, { method: "DELETE", path })).status;
  }

  async #announceLeave(address: string): Promise<number> {
    const path = SimulatorPath.worker(this.name);
    const body = this.#createHeartbeat();
    return (await callControl(address, { method: "PUT", path, body })).status;
  }

  /** Ends the target for good. */
  end(): void {
    this.#isEnded = true;
    this.crash();
  }

  #sendHeartbeat(): void {
    if (this.isIsolated) return;
    const { control } = this.#options;
    const [host, port] = control[this.#controlIndex % control.length]!.split(
      ":",
    );
    const incarnation = this.#incarnation;
    const sentAt = performance.now();
    const heartbeatRequest = send({
      host,
      port,
      method: "PUT",
      path: SimulatorPath.worker(this.name),
      headers: { "content-type": "application/json" },
      timeout: responseTimeoutMilliseconds,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => this.#controlIndex += 1);
      response.on("end", () => {
        if (response.statusCode !== 200) this.#controlIndex += 1;
        else if (incarnation === this.#incarnation) {
          this.#applyResponse(Buffer.concat(chunks).toString(), sentAt);
        }
      });
    });
    heartbeatRequest.on("timeout", () => heartbeatRequest.destroy());
    heartbeatRequest.on("error", () => this.#controlIndex += 1);
    heartbeatRequest.end(this.#createHeartbeat());
  }

  #createHeartbeat(): string {
    const { service, address } = this.#options;
    return encodeHeartbeat({
      service,
      address,
      dataCentre: "a",
      slots,
      isDraining: this.#isDraining,
      sequence: this.#sequence++,
      bornAt: this.#bornAt,
      holds: this.#grants,
    });
  }

  // The hold is valid from the time at which the heartbeat was sent.
  #applyResponse(body: string, sentAt: number): void {
    const heartbeatResponse = decodeHeartbeatResponse(body);
    if (!heartbeatResponse) return;
    this.#grants = heartbeatResponse.grants;
    this.#heldUntil = sentAt + heartbeatResponse.holdMilliseconds;
  }
}
