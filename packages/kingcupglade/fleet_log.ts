import { MonotonicClock } from "@kingcupglade/tasks";
import {
  createLogger,
  LineWriter,
  RateLimitedLogger,
} from "@kingcupglade/telemetry";
import type { ResolvedFleetSettings } from "./settings/fleet_schema.ts";

/** File descriptor of standard output. */
const logFileDescriptor = 1;
const flushIntervalMilliseconds = 1000;
/**
 * Lines per second of events without which a change cannot be followed from the
 * operator to the gateways.
 */
const changeLines = 200;
const changeEvents = ["items-changed", "items-applied", "call-relayed"];
/**
 * Lines per second of requests that are rejected for the limit of their
 * workspace, each of which an operator may ask about. A gateway of the first site
 * receives 14 requests a second, and more than a tenth of the site's if one
 * workspace sends all of its requests to it.
 */
const rejectionLines = 200;

/** The log of a VM of a fleet, on standard output. */
export class FleetLog {
  readonly logger: RateLimitedLogger;
  readonly #writer = new LineWriter(logFileDescriptor);
  readonly #flushTimer: NodeJS.Timeout;

  constructor({ vm, log }: Pick<ResolvedFleetSettings, "vm" | "log">) {
    const clock = new MonotonicClock();
    this.logger = new RateLimitedLogger(
      createLogger({
        fields: { vm: vm.name, dataCentre: vm.dataCentre },
        level: log.level,
        writer: this.#writer,
      }),
      () => clock.now(),
      {
        maximumLines: new Map([
          ...changeEvents.map((each) => [each, changeLines] as const),
          ["quota-rejected", rejectionLines],
        ]),
      },
    );
    this.#flushTimer = setInterval(
      () => this.logger.flush(),
      flushIntervalMilliseconds,
    ).unref();
  }

  /** Ends after the buffered lines, or soon if their reader does not read. */
  async close(): Promise<void> {
    clearInterval(this.#flushTimer);
    this.logger.flush();
    await this.#writer.close();
  }
}
