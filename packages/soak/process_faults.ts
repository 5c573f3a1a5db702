import { delay } from "./fault_injector.ts";
import type { ServerProcess } from "./server_process.ts";

/** First part of a process's life in which it gets signals. */
const earlyMilliseconds = 500;
/** All processes of a fleet start within this time. */
const startSpreadMilliseconds = 300;
const maximumEarlySignals = 3;
const stopSignalGapMilliseconds = 250;
const maximumStopSignals = 6;
const reloadCount = 10;
const reloadGapMilliseconds = 40;
const restartCount = 3;
const restartGapMilliseconds = 300;

/** Sends signals at random moments in the first half second of a process. */
export async function signalEarly(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  const count = 1 + Math.floor(random() * maximumEarlySignals);
  const signals = Array.from({ length: count }, () => ({
    after: random() * earlyMilliseconds,
    signal: selectSignal(random()),
  }));
  await Promise.all(signals.map(async ({ after, signal }) => {
    await delay(after);
    serverProcess.signal(signal);
  }));
}

/**
 * Starts a process within the time in which all processes of a fleet start, and
 * reloads its settings in its first half second.
 */
export async function startWithEarlyReload(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  const signalAfter = random() * earlyMilliseconds;
  await delay(random() * startSpreadMilliseconds);
  serverProcess.start();
  await delay(signalAfter);
  serverProcess.signal("SIGHUP");
}

// Most are reloads, after which the process has to serve.
function selectSignal(choice: number): NodeJS.Signals {
  if (choice < 0.6) return "SIGHUP";
  return choice < 0.85 ? "SIGTERM" : "SIGKILL";
}

/** Kills a process, starts it again and sends it early signals. */
export async function restartWithEarlySignals(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  await serverProcess.end("SIGKILL");
  serverProcess.start();
  await signalEarly(serverProcess, random);
}

/** Stops a process and sends it further signals while it stops. */
export async function stopWithFurtherSignals(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  const count = 1 + Math.floor(random() * maximumStopSignals);
  serverProcess.signal("SIGTERM");
  for (let sent = 0; sent < count; sent += 1) {
    await delay(random() * stopSignalGapMilliseconds);
    serverProcess.signal(random() < 0.5 ? "SIGTERM" : "SIGHUP");
  }
}

/** Changes the settings file and sends SIGHUP, several times. */
export async function reloadRepeatedly(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  for (let count = 0; count < reloadCount; count += 1) {
    serverProcess.rotateSeeds();
    serverProcess.signal("SIGHUP");
    await delay(random() * reloadGapMilliseconds);
  }
}

/** Kills and starts a process several times in quick succession. */
export async function restartRepeatedly(
  serverProcess: ServerProcess,
  random: () => number,
): Promise<void> {
  for (let count = 0; count < restartCount; count += 1) {
    await serverProcess.end("SIGKILL");
    serverProcess.start();
    await delay(random() * restartGapMilliseconds);
  }
}

/** Kills all processes at the same moment and starts them at once. */
export async function killTogether(
  processes: readonly ServerProcess[],
): Promise<void> {
  await Promise.all(processes.map(async (each) => {
    await each.end("SIGKILL");
    each.start();
  }));
}

/** Stops and starts processes one after another, without waiting between them. */
export async function restartInTurn(
  processes: readonly ServerProcess[],
): Promise<void> {
  for (const each of processes) {
    await each.end("SIGTERM");
    each.start();
  }
}
