/**
 * The program `sardinestep-entry`.
 *
 * @module
 */
import { runDaemon } from "@sardinestep/daemon";
import * as settings from "@sardinestep/settings";
import { Entry } from "./entry.ts";

await runDaemon({
  name: "sardinestep-entry",
  description: "Serves callers: runs their requests over the endpoints",
  schema: settings.ENTRY_SETTINGS_SCHEMA,
  open: (checked) => new Entry(checked),
});
