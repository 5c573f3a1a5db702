import type { Deployment } from "./deployment.ts";
import { hsinchu } from "./hsinchu.ts";

/** Options of {@link addFixtureTargets}. */
export interface FixtureTargetsOptions {
  /** @default 1 */
  readonly perDataCentre?: number;
}

/** Starts targets of fixture-stock, numbered from 1, in every data centre. */
export async function addFixtureTargets(
  deployment: Deployment,
  options: FixtureTargetsOptions = {},
): Promise<void> {
  const { perDataCentre = 1 } = options;
  const places = hsinchu.dataCentres.flatMap(({ name }) =>
    Array.from({ length: perDataCentre }, () => name)
  );
  for (const [index, dataCentre] of places.entries()) {
    await deployment.addTarget({
      name: `fixture-${index + 1}`,
      service: "fixture-stock",
      dataCentre,
    });
  }
}
