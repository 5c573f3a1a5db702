// Stand-ins for the platform's operator and workers.
import { createServer, request as send } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { Port } from "./deployment.mjs";

/** An operator moves on to another node after a second without a response. */
const operatorPatienceMilliseconds = 1000;

/** Sends one HTTP request and resolves with the status and the body. */
export function exchange({ address, method, path, headers, body, patience }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = send(
      { host, port, method, path, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        const finish = (isComplete) =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isComplete,
          });
        response.on("error", () => finish(false));
        response.on("end", () => finish(response.complete));
      },
    );
    request.setTimeout(patience ?? 10_000, () => request.destroy());
    request.on(
      "error",
      (failure) =>
        resolve({ status: 0, failure: failure.code ?? failure.message }),
    );
    request.end(body);
  });
}

/** An operator, which sends orders to the nodes that serve `control`. */
export class Operator {
  constructor({ addresses, record }) {
    this.addresses = addresses;
    this.record = record;
  }

  /**
   * Sends one order to the given nodes in turn, until one answers with 200.
   * Moves on after a failure, a 5xx or a second without a response.
   */
  async order(method, path, { body, nodes = this.addresses, tries = 40 } = {}) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const address = nodes[attempt % nodes.length];
      this.record.write(`operator: ${method} ${path} to ${address}`);
      const { status, failure } = await exchange({
        address,
        method,
        path,
        headers: text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
        body: text,
        patience: operatorPatienceMilliseconds,
      });
      this.record.write(
        `operator: ${method} ${path} at ${address}: ${status || failure}`,
      );
      if (status === 200) return performance.now();
      await pause(Math.min(400, 50 * (attempt + 1)));
    }
    throw new Error(`${method} ${path} was not acknowledged`);
  }
}

let started = 0;

/** A worker, which announces itself and runs requests. */
export class Worker {
  /**
   * Set to answer requests before their bodies are read: returns the function
   * that does so, or undefined.
   */
  early;

  /** @param run Answers a request; called with the request and its body. */
  constructor({ id, service, zone, address, control, slots = 8, run, record }) {
    const instance = `i-${id}-${process.pid}-${started++}`;
    Object.assign(this, { id: instance, service, zone, address, slots });
    Object.assign(this, { control, run, record });
    this.born = Date.now();
    this.sequence = 0;
    this.controlAt = 0;
    this.running = 0;
  }

  async start(heartbeatSeconds) {
    const [host, port] = this.address.split(":");
    this.server = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) =>
      this.server.listen(Number(port), host, resolve)
    );
    void this.#beat();
    this.timer = setInterval(() => void this.#beat(), heartbeatSeconds * 1000);
  }

  /** Ends at once, as a crash does; the address refuses connections then. */
  crash() {
    clearInterval(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async #handle(request, response) {
    const id = request.headers["x-request-id"] ?? "";
    if (request.url === "/health") {
      response.writeHead(200, {
        "x-instance-id": this.id,
        "x-instance-load": this.load,
      });
      return response.end();
    }
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-request-id": id, "x-not-executed": "1" });
      return response.end();
    }
    const answerEarly = this.early?.(request);
    if (answerEarly) return answerEarly(request, response);
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      // A worker does not run a request whose body is not complete.
      return;
    }
    this.running += 1;
    response.once("close", () => (this.running -= 1));
    await this.run(request, response, { id, body: Buffer.concat(chunks) });
  }

  get load() {
    return `${this.running},0,${this.slots}`;
  }

  /** Headers of an answer to a request that has run. */
  headers(id, more = {}) {
    return {
      "x-request-id": id,
      "x-response-signature": `${this.id}.${id}`,
      "x-instance-load": this.load,
      ...more,
    };
  }

  async #beat() {
    const address = this.control[this.controlAt % this.control.length];
    const { status } = await exchange({
      address,
      method: "PUT",
      path: `/v1/instances/${this.id}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: "v1",
        slots: this.slots,
        state: "ready",
        coldRemainingS: 0,
        sequence: this.sequence++,
        born: this.born,
      }),
      patience: 1000,
    });
    if (status !== 200) this.controlAt += 1;
  }
}

/** Returns the first configuration: one service and one route for each row. */
export function createConfiguration(rows, version = 1) {
  return {
    upsert: {
      services: rows.map(({ service }) => ({
        name: service,
        healthCheckPath: "/health",
        maxConnections: 110,
        protocol: "h1",
        tls: false,
        coldStartS: 3,
        coldPerS: 3.9,
        version,
      })),
      routes: rows.map(({ service, routeType = "safe", ...more }) => ({
        name: `r-${service}`,
        host: "gate.example",
        pathPrefix: `/${service}/`,
        routeType,
        timeoutS: 5,
        targetLatencyS: 0.6,
        priority: 1,
        service,
        maxAttempts: 2,
        allowedRegions: [],
        version,
        ...more,
      })),
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 67108864,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
        version,
      },
    },
    remove: { routes: [] },
  };
}

let requests = 0;

/** Returns the headers of a client's request with an ID of its own. */
export function clientHeaders({ deadlineMilliseconds = 5000 } = {}) {
  requests += 1;
  return {
    host: "gate.example",
    "x-request-id": `q${process.pid}-${requests}`,
    "x-deadline-ms": String(deadlineMilliseconds),
  };
}

export { Port };
