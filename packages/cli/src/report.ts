/**
 * Reports of commands, formatted as text or as JSON.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { match } from "ts-pattern";
import { EXIT, type ExitCode, getExitCode } from "./exit_codes.ts";

/** The result of a command. */
export type Report =
  | {
    readonly kind: "done";
    /** Text output. */
    readonly lines: readonly string[];
    /** The same content for JSON output. */
    readonly data: Readonly<Record<string, unknown>>;
  }
  | {
    readonly kind: "failed";
    readonly failure: codes.Failure;
    /** Further lines of text, such as faults or the next step. */
    readonly lines: readonly string[];
    readonly data: Readonly<Record<string, unknown>>;
  };

/** Details of a failure beside its message. */
export interface ReportDetails {
  readonly lines?: readonly string[];
  readonly data?: Readonly<Record<string, unknown>>;
}

/**
 * Creates the report of a command that failed in an expected way.
 *
 * @param failure Code, message and outcome.
 * @param details Further lines and data.
 * @returns The report.
 */
export function createFailureReport(
  failure: codes.Failure,
  details: ReportDetails = {},
): Report {
  return {
    kind: "failed",
    failure,
    lines: details.lines ?? [],
    data: details.data ?? {},
  };
}

/** The program's output and exit code. */
export interface Printout {
  readonly stdout: string;
  readonly stderr: string;
  readonly exitCode: ExitCode;
}

/**
 * Formats a report. JSON always goes to stdout, also on failures.
 *
 * @param report The report.
 * @param asJson Whether to format it as JSON.
 * @returns The contents of stdout and stderr, and the exit code.
 * @example
 * ```ts
 * formatReport({ kind: "done", lines: ["Accepted"], data: {} }, false).stdout;
 * ```
 */
export function formatReport(report: Report, asJson: boolean): Printout {
  const exitCode = match(report)
    .with({ kind: "done" }, () => EXIT.done)
    .with({ kind: "failed" }, ({ failure }) => getExitCode(failure.code))
    .exhaustive();
  if (asJson) return { stdout: formatJson(report), stderr: "", exitCode };
  const text = formatLines(report);
  return report.kind === "done"
    ? { stdout: text, stderr: "", exitCode }
    : { stdout: "", stderr: text, exitCode };
}

function formatJson(report: Report): string {
  const value = match(report)
    .with({ kind: "done" }, ({ data }) => ({ code: 0, name: "OK", ...data }))
    .with({ kind: "failed" }, ({ failure, data }) => ({
      code: codes.CODES[failure.code].code,
      name: failure.code,
      outcome: failure.outcome,
      message: failure.message,
      ...data,
    }))
    .exhaustive();
  return `${JSON.stringify(value, null, 2)}\n`;
}

function formatLines(report: Report): string {
  const lines = report.kind === "failed"
    ? [formatFailure(report.failure), ...report.lines]
    : report.lines;
  return lines.map((line) => `${replaceControlCharacters(line)}\n`).join("");
}

function formatFailure(failure: codes.Failure): string {
  return `${failure.message} (${failure.code}, ${
    codes.CODES[failure.code].code
  })`;
}

/**
 * Prevents terminal escape injection: notes and authors are untrusted text, and an
 * escape sequence in them could overwrite the screen. Every escape sequence needs
 * a control character.
 */
function replaceControlCharacters(line: string): string {
  return line.replace(/\p{Cc}/gu, "\uFFFD");
}

/**
 * Formats rows as aligned columns.
 *
 * @param header Names of the columns.
 * @param rows Rows with one cell for each column.
 * @returns One line for the header and one for each row.
 * @example
 * ```ts
 * formatTable(["VM", "ZONE"], [["vm-1", "yard-a"]]);
 * ```
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => row[column].length))
  );
  return allRows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
}
