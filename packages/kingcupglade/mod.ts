/**
 * The daemon and its command line.
 *
 * @module
 */
export { runCommandLine } from "./command_line.ts";
export { parseSettings, readSettings, SettingsError } from "./settings/read.ts";
export { settingsSchema } from "./settings/schema.ts";
export type { ResolvedSettings } from "./settings/schema.ts";
export { Vm } from "./vm.ts";
export type { VmOptions } from "./vm.ts";
export type { ControlStatus } from "./control/status.ts";
