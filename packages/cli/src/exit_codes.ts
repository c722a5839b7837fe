/**
 * Exit codes of the command line. A test checks that `docs/OPERATORS.md`
 * shows the same table.
 *
 * @module
 */
import type * as codes from "@sardinestep/codes";

/** Exit codes by name. */
export const EXIT = {
  done: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  unknown: 4,
  internal: 5,
} as const;
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Meaning of each exit code, for `sardinestep codes` and the docs. */
export const EXIT_MEANINGS: Readonly<Record<keyof typeof EXIT, string>> = {
  done: "Done; what was published is in force",
  refused:
    "Refused and nothing was changed: invalid, lost a race, or not found",
  usage: "The command line or the settings file is wrong",
  unreachable:
    "No control process answered, or the log is out of reach; nothing was changed",
  unknown: "Sent, and its fate is not known: it may still come in force",
  internal: "A fault of the program itself; please report it",
};

const EXIT_BY_RESULT_CODE: Partial<Record<codes.CodeName, ExitCode>> = {
  USAGE: EXIT.usage,
  CONTROL_UNREACHABLE: EXIT.unreachable,
  LOG_UNAVAILABLE: EXIT.unreachable,
  PUBLISH_UNKNOWN: EXIT.unknown,
};

/**
 * Returns the exit code of a failure.
 *
 * @param code Name of the result code.
 * @returns The exit code; 1 for every result code without its own exit code.
 * @example
 * ```ts
 * getExitCode("CONFIG_BASE_STALE"); // 1
 * ```
 */
export function getExitCode(code: codes.CodeName): ExitCode {
  return EXIT_BY_RESULT_CODE[code] ?? EXIT.refused;
}
