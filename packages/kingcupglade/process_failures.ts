import { createLogger, LineWriter } from "@kingcupglade/telemetry";
import type { LogFields } from "@kingcupglade/telemetry";
import { ExitCode } from "./commands/command.ts";

/** File descriptor of standard output. */
const logFileDescriptor = 1;
const maximumStackCharacters = 4000;

/**
 * Ends this process after an exception or a rejected promise that nothing
 * handles, as its state is unknown then. The last log line tells the cause; it
 * is not waited for if its reader does not read.
 *
 * @param fields are added to the line, such as the VM and its data centre.
 */
export function endOnProcessFailure(fields: LogFields): void {
  let hasFailed = false;
  const end = async (failure: unknown, origin: string) => {
    if (hasFailed) return;
    hasFailed = true;
    const writer = new LineWriter(logFileDescriptor);
    const logger = createLogger({ fields, writer });
    logger.error("process-failed", { origin, ...describe(failure) });
    await writer.close();
    process.exit(ExitCode.fault);
  };
  // Node.js passes unhandled rejections on to this event.
  process.on("uncaughtException", end);
}

function describe(failure: unknown): LogFields {
  const { message, stack } = failure instanceof Error
    ? failure
    : new Error(String(failure));
  return {
    reason: message.slice(0, maximumStackCharacters),
    stack: (stack ?? "").slice(0, maximumStackCharacters),
  };
}
