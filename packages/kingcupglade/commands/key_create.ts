import { parseArgs } from "node:util";
import { createOperatorKey } from "@kingcupglade/bundle";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { writePrivateFile } from "./files.ts";

/** `key create`: creates an operator's key pair. */
export const keyCreateCommand: Command = {
  help: `Usage: kingcupglade key create --out FILE

Makes an ed25519 key pair. The private key goes to FILE, which must not exist;
the public key is printed, for the settings and the bundle.

Example:
  kingcupglade key create --out mei.pem
`,
  async run(commandArguments) {
    const { values } = parseArgs({
      args: [...commandArguments],
      options: { out: { type: "string" } },
    });
    if (values.out === undefined) {
      throw new UsageError("key create needs --out FILE");
    }
    const { privateKey, publicKey } = createOperatorKey();
    await writePrivateFile(values.out, privateKey);
    process.stdout.write(`${publicKey}\n`);
    return ExitCode.done;
  },
};
