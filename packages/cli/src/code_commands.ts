/**
 * `sardinestep codes`: the tables of result codes and exit codes.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { EXIT, EXIT_MEANINGS } from "./exit_codes.ts";
import { formatTable, type Report } from "./report.ts";

/**
 * Builds the report of the result codes and exit codes.
 *
 * @returns The table of result codes, then that of exit codes.
 */
export function buildCodes(): Report {
  const rows = Object.entries(codes.CODES).map(([name, row]) => ({
    name,
    ...row,
  }));
  const exits = Object.entries(EXIT).map(([name, exitCode]) => ({
    name,
    exitCode,
    meaning: EXIT_MEANINGS[name as keyof typeof EXIT],
  }));
  return {
    kind: "done",
    lines: [
      ...formatTable(
        ["CODE", "NAME", "HTTP", "OUTCOME", "RETRY-AFTER", "MEANING"],
        rows.map((row) => [
          String(row.code),
          row.name,
          String(row.httpStatus),
          row.outcome,
          row.retryAfter ? "yes" : "no",
          row.meaning,
        ]),
      ),
      "",
      ...formatTable(
        ["EXIT", "NAME", "MEANING"],
        exits.map((row) => [String(row.exitCode), row.name, row.meaning]),
      ),
    ],
    data: { codes: rows, exits },
  };
}
