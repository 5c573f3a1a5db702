import type { TimedEvent } from "@kingcupglade/fakes";
import { eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck, Violation } from "../violation.ts";

/**
 * Requests start only in regions that some bundle rolled out so far declares
 * as their home, and no process in another region stores parts of them or logs
 * the name of their tenant.
 */
export const checkHomeRegions: InvariantCheck = (events) => {
  const requests = new Map(
    eventsOf(events, "requestSent").map((each) => [each.request, each]),
  );
  const rolls: EventOf<"rollStarted">[] = [];
  const services = new Map(
    eventsOf(events, "started").map((each) => [each.request, each.service]),
  );
  return events.flatMap((event): readonly Violation[] => {
    if (event.kind === "rollStarted") rolls.push(event);
    if (event.kind === "logged") return checkLogLine(rolls, event);
    if (event.kind !== "started" && event.kind !== "hop") return [];
    if (event.kind === "hop" && !event.keeps) return [];
    const request = requests.get(event.request);
    const service = event.service || services.get(event.request);
    if (!request) return [];
    const homeRegions = homeRegionsOf(rolls, {
      service,
      tenant: request.tenant,
    });
    const region = event.kind === "hop"
      ? event.region
      : regionOf(rolls, event.dataCentre);
    if (
      homeRegions === null || (region !== undefined && homeRegions.has(region))
    ) return [];
    return [createViolation(request, event, [...homeRegions])];
  });
};

function checkLogLine(
  rolls: readonly EventOf<"rollStarted">[],
  event: EventOf<"logged">,
): readonly Violation[] {
  const homeRegions = homeRegionsOf(rolls, {
    service: undefined,
    tenant: event.tenant,
  });
  return homeRegions === null || homeRegions.has(event.region) ? [] : [{
    invariant: InvariantName.homeRegions,
    message:
      `${event.vm} logged the name of ${event.tenant} outside its home regions`,
    events: [event],
  }];
}

/**
 * Returns the home regions of a tenant for a service, or for all services if
 * the service is unknown; null if no bundle declares any.
 */
function homeRegionsOf(
  rolls: readonly EventOf<"rollStarted">[],
  subject: { readonly service: string | undefined; readonly tenant: string },
): ReadonlySet<string> | null {
  const regions = rolls.flatMap((roll) => roll.homes).filter((home) =>
    home.tenant === subject.tenant &&
    (subject.service === undefined || home.service === subject.service)
  ).flatMap((home) => home.regions);
  return regions.length === 0 ? null : new Set(regions);
}

function regionOf(
  rolls: readonly EventOf<"rollStarted">[],
  dataCentre: string,
): string | undefined {
  return rolls.flatMap((roll) => roll.dataCentres).find((each) =>
    each.name === dataCentre
  )?.region;
}

function createViolation(
  request: TimedEvent,
  event: EventOf<"started"> | EventOf<"hop">,
  homeRegions: readonly string[],
): Violation {
  const processName = event.kind === "hop" ? event.vm : event.target;
  const action = event.kind === "hop" ? "stored" : "ran";
  return {
    invariant: InvariantName.homeRegions,
    message:
      `${processName} ${action} ${event.request}, whose home regions are ${
        homeRegions.join(", ")
      }`,
    events: [request, event],
  };
}
