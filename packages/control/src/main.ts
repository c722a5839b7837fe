/**
 * Entry point of the program `sardinestep-control`.
 *
 * @module
 */
import * as settings from "@sardinestep/settings";
import { runDaemon } from "@sardinestep/daemon";
import { ControlProcess } from "./control.ts";

await runDaemon({
  name: "sardinestep-control",
  description:
    "Keeps the entries of its VM up to date with the state of the platform",
  schema: settings.CONTROL_SETTINGS_SCHEMA,
  open: (checked) => new ControlProcess(checked),
});
