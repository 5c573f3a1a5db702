// Evaluated before all other modules, whose evaluation takes time.
import "./process_signals.ts";
import { runCommandLine } from "./command_line.ts";

runCommandLine(process.argv.slice(2)).then((code) => process.exit(code));
