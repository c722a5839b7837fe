/**
 * Answers that VMs ended after they had begun, by cause.
 *
 * @module
 */
import { getNumber, type LogLine } from "./log_lines.ts";
import { formatCause } from "./outcomes.ts";
import type { TruncationCount } from "./request_report.ts";

/** Cause of an eviction, whose line names none. */
const CAUSE_UNREAD = "unread";

/** Why a VM ended an answer that had begun. */
export interface TruncationEnd {
  /** A cause of the event `response_truncated`, see docs/LOGS.md. */
  readonly cause: string;
  /** Whether the VM was stopping; undefined if the line doesn't show it. */
  readonly isStopping: boolean | undefined;
  /** Cause and reason without figures. */
  readonly text: string;
}

/**
 * Parses a line that says that a VM ended an answer.
 *
 * @returns Undefined for any other line.
 * @example
 * ```ts
 * parseTruncation(line)?.cause; // "endpointSilent"
 * ```
 */
export function parseTruncation(line: LogLine): TruncationEnd | undefined {
  switch (line.event) {
    case "response_truncated": {
      const cause = String(line.cause);
      return {
        cause,
        isStopping: getNumber(line, "stoppingMs") !== undefined,
        text: formatCause(`truncated, ${cause}`, line.reason),
      };
    }
    case "response_evicted":
      return {
        cause: CAUSE_UNREAD,
        isStopping: undefined,
        text: formatCause(`truncated, ${CAUSE_UNREAD}`, undefined),
      };
    default:
      return undefined;
  }
}

/** Counts answers that VMs ended. */
export class TruncationStatistics {
  readonly #counts = new Map<string, TruncationCount>();

  /** Adds one line. */
  add(line: LogLine): void {
    const end = parseTruncation(line);
    if (end === undefined) return;
    const { cause, isStopping } = end;
    const before = this.#counts.get(cause) ??
      {
        cause,
        count: 0,
        whileStopping: isStopping === undefined ? undefined : 0,
      };
    this.#counts.set(cause, {
      cause,
      count: before.count + 1,
      whileStopping: before.whileStopping === undefined
        ? undefined
        : before.whileStopping + Number(isStopping),
    });
  }

  /** Returns all causes, the most frequent first. */
  getCounts(): TruncationCount[] {
    return [...this.#counts.values()].sort((a, b) =>
      b.count - a.count || a.cause.localeCompare(b.cause)
    );
  }
}
