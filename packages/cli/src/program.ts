/**
 * The `sardinestep` program: it parses, calls and prints.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as cmd from "cmd-ts";
import type { Environment } from "./context.ts";
import { EXIT } from "./exit_codes.ts";
import { createRefusal, formatReport, type Printout } from "./report.ts";
import type { Answer } from "./run_command.ts";
import { buildProgram } from "./syntax.ts";

/**
 * Runs the program.
 *
 * @param argv The arguments after the program's name.
 * @param environment Caller and what else comes from outside.
 * @returns What to print and how to exit.
 * @example
 * ```ts
 * const { stdout, exitCode } = await runProgram(["codes"], environment);
 * ```
 */
export async function runProgram(
  argv: readonly string[],
  environment: Environment,
): Promise<Printout> {
  const ended = await cmd.runSafely(buildProgram(environment), [...argv]);
  if (ended._tag === "error") {
    const { into, message } = ended.error.config;
    return into === "stdout"
      ? { stdout: `${message}\n`, stderr: "", exitCode: EXIT.done }
      : createUsage(message, argv.includes("--json"));
  }
  const { report, json } = await findAnswer(ended.value);
  return formatReport(report, json);
}

function createUsage(message: string, asJson: boolean): Printout {
  if (!asJson) {
    return { stdout: "", stderr: `${message}\n`, exitCode: EXIT.usage };
  }
  return formatReport(
    createRefusal(codes.createFailure("USAGE", message)),
    true,
  );
}

/** Results of nested commands: each level wraps the one below. */
type Nested =
  | Answer
  | Promise<Answer>
  | { readonly command: string; readonly value: Nested };

async function findAnswer(nested: Nested): Promise<Answer> {
  const settled = await nested;
  return "report" in settled ? settled : await findAnswer(settled.value);
}
