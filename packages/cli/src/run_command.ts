/**
 * Runs one command with validated settings.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as settings from "@sardinestep/settings";
import type { Context, Environment } from "./context.ts";
import { createFailureReport, type Report } from "./report.ts";

/** A command's report and the requested output format. */
export interface CommandResult {
  readonly report: Report;
  readonly json: boolean;
}

/**
 * Runs a command that calls control processes.
 *
 * @param environment External dependencies of the commands.
 * @param options The settings file and the output format.
 * @param run The command.
 * @returns The command's report, or a report of the faults in the settings file.
 */
export async function runWithContext(
  environment: Environment,
  options: { readonly settings: string; readonly json: boolean },
  run: (context: Context) => Promise<Report>,
): Promise<CommandResult> {
  const loaded = settings.readSettingsFile(
    settings.CLI_SETTINGS_SCHEMA,
    options.settings,
  );
  const report = loaded.isErr()
    ? createInvalidSettingsReport(options.settings, loaded.error)
    : await run({ ...environment, settings: loaded.value });
  return { report, json: options.json };
}

function createInvalidSettingsReport(
  file: string,
  faults: readonly settings.ValidationFault[],
): Report {
  const failure = codes.createFailure(
    "USAGE",
    `Cannot use settings "${file}": ${faults.length} fault(s)`,
  );
  const lines = faults.map(settings.formatFault);
  return createFailureReport(failure, { lines, data: { faults } });
}
