import { createServer } from "node:http";
import type { IncomingHttpHeaders, Server, ServerResponse } from "node:http";
import { Agent } from "undici";
import type { Dispatcher } from "undici";

/**
 * A minimal proxy of `http` and `undici`, the baseline of speed measurements.
 */
export class BareProxy {
  readonly #agent: Agent;
  readonly #server: Server;

  constructor(options: {
    readonly target: string;
    readonly connections: number;
  }) {
    const { target, connections } = options;
    this.#agent = new Agent({ connections, pipelining: 1 });
    this.#server = createServer((request, response) => {
      this.#agent.dispatch({
        origin: target,
        path: request.url ?? "/",
        method: request.method as Dispatcher.HttpMethod,
        headers: { "x-request": String(request.headers["x-request"] ?? "") },
      }, new ForwardingHandler(response));
    });
  }

  /** Opens the listener. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen({ host, port, backlog: 1024 }, resolve)
    );
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    await this.#agent.destroy();
  }
}

class ForwardingHandler implements Dispatcher.DispatchHandler {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#response.writeHead(status, {
      "content-length": headers["content-length"] ?? "0",
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#response.write(chunk);
  }

  onResponseEnd(): void {
    this.#response.end();
  }

  onResponseError(): void {
    this.#response.destroy();
  }
}
