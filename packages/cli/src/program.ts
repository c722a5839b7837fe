/**
 * The `sardinestep` program: parses the command line, runs the command and formats
 * its report.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as cmd from "cmd-ts";
import type { Environment } from "./context.ts";
import { EXIT } from "./exit_codes.ts";
import { createFailureReport, formatReport, type Printout } from "./report.ts";
import type { CommandResult } from "./run_command.ts";
import { buildProgram } from "./syntax.ts";

/**
 * Runs the program.
 *
 * @param argv The arguments after the program's name.
 * @param environment External dependencies of the commands.
 * @returns The output and the exit code.
 * @example
 * ```ts
 * const { stdout, exitCode } = await runProgram(["codes"], environment);
 * ```
 */
export async function runProgram(
  argv: readonly string[],
  environment: Environment,
): Promise<Printout> {
  const parsed = await cmd.runSafely(buildProgram(environment), [...argv]);
  if (parsed._tag === "error") {
    const { into, message } = parsed.error.config;
    return into === "stdout"
      ? { stdout: `${message}\n`, stderr: "", exitCode: EXIT.done }
      : createUsagePrintout(message, argv.includes("--json"));
  }
  const { report, json } = await unwrapResult(parsed.value);
  return formatReport(report, json);
}

function createUsagePrintout(message: string, asJson: boolean): Printout {
  if (!asJson) {
    return { stdout: "", stderr: `${message}\n`, exitCode: EXIT.usage };
  }
  return formatReport(
    createFailureReport(codes.createFailure("USAGE", message)),
    true,
  );
}

/** Result of nested subcommands: each level wraps that of its subcommand. */
type NestedResult =
  | CommandResult
  | Promise<CommandResult>
  | { readonly command: string; readonly value: NestedResult };

async function unwrapResult(nested: NestedResult): Promise<CommandResult> {
  const settled = await nested;
  return "report" in settled ? settled : await unwrapResult(settled.value);
}
