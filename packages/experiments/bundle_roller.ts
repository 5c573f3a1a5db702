import { bundleDigest, homeRegions, parseBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";
import type { HistoryEvent } from "@kingcupglade/fakes";
import { request } from "undici";
import type { Deployment } from "./deployment.ts";
import type { DataCentreDescription } from "./deployment_options.ts";

const rollTimeoutMilliseconds = 5000;

type RollResult = Extract<HistoryEvent, { readonly kind: "rollEnded" }>;

/** A data centre of a bundle, in service or out. */
export type BundleDataCentre = DataCentreDescription & {
  readonly inService: boolean;
};

/** Simulates operators that roll and resend bundles, also concurrently. */
export class BundleRoller {
  readonly #deployment: Deployment;
  #dataCentres: readonly BundleDataCentre[];
  #version = 0;
  #accepted: SignedBundle[] = [];

  constructor(
    deployment: Deployment,
    dataCentres: readonly DataCentreDescription[],
  ) {
    this.#deployment = deployment;
    this.#dataCentres = dataCentres.map((each) => ({
      ...each,
      inService: true,
    }));
  }

  /**
   * Rolls the next version; resends it until it gets a response, 20 times at
   * most.
   */
  async roll(via: readonly string[]): Promise<void> {
    await this.#sendUntilAnswered(this.#nextBundle(), via);
  }

  /**
   * Rolls two different bundles of the same version through two VMs at once.
   */
  async rollConcurrently(left: string, right: string): Promise<void> {
    const version = this.#version + 1;
    await Promise.all([
      this.#sendUntilAnswered(this.#nextBundle(), [left]),
      this.#sendUntilAnswered(this.#sign(version, [{ name: "racer" }]), [
        right,
      ]),
    ]);
  }

  /** Resends an accepted bundle; `age` 0 is the latest, 1 the one before it. */
  async resend(via: string, age: number): Promise<void> {
    const signed = this.#accepted.at(-1 - age) ?? this.#accepted.at(-1);
    if (signed) await this.#send(signed, via);
  }

  /** Takes a data centre out of service or returns it to service. */
  async setInService(
    change: { readonly dataCentre: string; readonly inService: boolean },
    via: readonly string[],
  ): Promise<void> {
    this.#dataCentres = this.#dataCentres.map((each) =>
      each.name === change.dataCentre
        ? { ...each, inService: change.inService }
        : each
    );
    await this.roll(via);
  }

  #nextBundle(): SignedBundle {
    this.#version += 1;
    return this.#sign(this.#version, []);
  }

  #sign(
    version: number,
    extraTenants: readonly { readonly name: string }[],
  ): SignedBundle {
    const { tenants } = this.#deployment.content;
    return this.#deployment.signBundle(version, {
      dataCentres: this.#dataCentres,
      tenants: [...(tenants as readonly object[]), ...extraTenants],
    });
  }

  async #sendUntilAnswered(
    signed: SignedBundle,
    via: readonly string[],
  ): Promise<void> {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const outcome = await this.#send(signed, via[attempt % via.length]!);
      if (outcome === "accepted") this.#accepted.push(signed);
      if (outcome !== "unanswered") return;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  async #send(
    signed: SignedBundle,
    via: string,
  ): Promise<RollResult["outcome"]> {
    const { history } = this.#deployment;
    const sentAt = performance.now();
    history.record(rollStartedEvent(signed));
    const response = await this.#post(signed, via);
    history.record({ kind: "rollEnded", sentAt, ...response });
    return response.outcome;
  }

  async #post(
    signed: SignedBundle,
    via: string,
  ): Promise<Omit<RollResult, "kind" | "sentAt">> {
    try {
      const { body } = await request(
        `http://${this.#deployment.operatorsAddress(via)}/bundle`,
        {
          method: "POST",
          body: JSON.stringify(signed),
          signal: AbortSignal.timeout(rollTimeoutMilliseconds),
        },
      );
      const document = await body.json() as {
        readonly kind?: "accepted" | "conflict" | "refused";
        readonly version?: number;
        readonly digest?: string;
      };
      const { kind = "unanswered", version = 0, digest = "" } = document;
      return { outcome: kind, version, digest };
    } catch {
      return { outcome: "unanswered", version: 0, digest: "" };
    }
  }
}

function rollStartedEvent(signed: SignedBundle): HistoryEvent {
  const bundle = parseBundle(signed.document);
  return {
    kind: "rollStarted",
    version: bundle.version,
    digest: bundleDigest(signed.document),
    dataCentres: bundle.dataCentres,
    homes: bundle.services.flatMap((service) =>
      bundle.tenants.map((tenant) => ({
        service: service.name,
        tenant: tenant.name,
        regions: homeRegions(bundle, {
          service: service.name,
          tenant: tenant.name,
        }),
      }))
    ),
  };
}
