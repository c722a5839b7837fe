/**
 * What a command reports, as text for people and as JSON for programs.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { match } from "ts-pattern";
import { EXIT, type ExitCode, getExitCode } from "./exit_codes.ts";

/** How a command ended. */
export type Report =
  | {
    readonly kind: "done";
    /** Lines for people. */
    readonly lines: readonly string[];
    /** The same for programs. */
    readonly data: Readonly<Record<string, unknown>>;
  }
  | {
    readonly kind: "failed";
    readonly failure: codes.Failure;
    /** Further lines for people, such as faults or the next step. */
    readonly lines: readonly string[];
    readonly data: Readonly<Record<string, unknown>>;
  };

/** What a report carries beside its main message. */
export interface ReportDetails {
  readonly lines?: readonly string[];
  readonly data?: Readonly<Record<string, unknown>>;
}

/**
 * Makes the report of a command that failed in an expected way.
 *
 * @param failure Code, message and outcome.
 * @param details Further lines and data.
 * @returns The report.
 */
export function createRefusal(
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

/** What the program prints and how it exits. */
export interface Printout {
  readonly stdout: string;
  readonly stderr: string;
  readonly exitCode: ExitCode;
}

/**
 * Formats a report. With JSON, programs read stdout only, also on failures.
 *
 * @param report The report.
 * @param asJson Whether it is for a program.
 * @returns Both outputs and the exit code.
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
    ? [formatHead(report.failure), ...report.lines]
    : report.lines;
  return lines.map((line) => `${replaceControlCharacters(line)}\n`).join("");
}

function formatHead(failure: codes.Failure): string {
  return `${failure.message} (${failure.code}, ${
    codes.CODES[failure.code].code
  })`;
}

/**
 * Guards terminals: notes and authors come from other people, and an escape
 * sequence among them could rewrite what stands on the screen. Without control
 * characters there is no escape sequence.
 */
function replaceControlCharacters(line: string): string {
  return line.replace(/\p{Cc}/gu, "\uFFFD");
}

/**
 * Formats rows as columns.
 *
 * @param header Names of the columns.
 * @param rows Cells, as many as there are columns.
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
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => row[column].length))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
}
