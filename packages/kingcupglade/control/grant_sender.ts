import type { Grant } from "@kingcupglade/ownership";
import { Agent, request } from "undici";

const pushTimeoutMilliseconds = 400;

/** The complete set of grants that a target is to hold. */
export interface GrantPush {
  readonly target: string;
  readonly boot: string;
  readonly address: string;
  readonly grants: readonly Grant[];
  /** Table version that the grants are derived from. */
  readonly version: number;
  /** Orders the pushes of a version. */
  readonly sequence: number;
}

/** Sends grants to targets over HTTP. */
export class GrantSender {
  readonly #secret: string;
  readonly #agent: Agent;

  constructor(options: {
    readonly secret: string;
    /** Certificate authority of targets that use TLS, PEM. */
    readonly authority: Buffer | undefined;
  }) {
    const { secret, authority } = options;
    this.#secret = secret;
    this.#agent = new Agent({
      connections: 1,
      pipelining: 1,
      connect: { ca: authority },
    });
  }

  /** Sends the grants; returns whether the target confirmed them. */
  async push(push: GrantPush): Promise<boolean> {
    try {
      const response = await request(`${push.address}/kingcupglade/grants`, {
        method: "PUT",
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.#secret}`,
          "content-type": "application/json",
        },
        body: JSON.stringify({
          boot: push.boot,
          version: push.version,
          sequence: push.sequence,
          grants: push.grants,
        }),
        headersTimeout: pushTimeoutMilliseconds,
        bodyTimeout: pushTimeoutMilliseconds,
        signal: AbortSignal.timeout(pushTimeoutMilliseconds),
      });
      await response.body.dump();
      return response.statusCode === 204;
    } catch {
      return false;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
