import { parseArgs } from "node:util";
import { UsageError } from "./command.ts";

/** Arguments of a command that takes one file. */
export interface FileArguments {
  readonly path: string;
  /** Whether to print JSON. */
  readonly json: boolean;
}

/**
 * Parses arguments of the form `FILE [--json]`.
 *
 * @throws {UsageError} unless exactly one file is given.
 */
export function parseFileArguments(
  commandArguments: readonly string[],
  command: string,
): FileArguments {
  const { positionals, values } = parseArgs({
    args: [...commandArguments],
    allowPositionals: true,
    options: { json: { type: "boolean", default: false } },
  });
  const [path] = positionals;
  if (path === undefined || positionals.length > 1) {
    throw new UsageError(`${command} needs one FILE; see ${command} --help`);
  }
  return { path, json: values.json };
}

/** Arguments of a command that queries a VM. */
export interface VmArguments {
  /** Address of the operators' listener, IP:PORT. */
  readonly vm: string;
  readonly json: boolean;
}

/**
 * Parses arguments of the form `--vm IP:PORT [--json]`.
 *
 * @throws {UsageError} when no VM is given.
 */
export function parseVmArguments(
  commandArguments: readonly string[],
  command: string,
): VmArguments {
  const { values } = parseArgs({
    args: [...commandArguments],
    options: {
      vm: { type: "string" },
      json: { type: "boolean", default: false },
    },
  });
  if (!values.vm) {
    throw new UsageError(
      `${command} needs --vm IP:PORT, the operators' listener of a VM`,
    );
  }
  return { vm: values.vm, json: values.json };
}
