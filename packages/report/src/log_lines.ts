/**
 * Lines of gateways' logs.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Err, Ok, type Result } from "ts-results-es";

/** A line of a gateway's log. */
export interface LogLine {
  readonly time: string;
  readonly vm: string;
  readonly sequence: number;
  readonly event: string;
  readonly [field: string]: unknown;
}

/**
 * Reads one line. Something may stand before the object, such as a collector's own
 * columns.
 *
 * @param row A line of a log.
 * @returns Its event; undefined for a line that is cut or holds none.
 * @example
 * ```ts
 * parseLogLine('vm-1 | {"time":"2026-01-01T00:00:00.000Z","vm":"vm-1","sequence":1,"event":"process_started"}');
 * ```
 */
export function parseLogLine(row: string): LogLine | undefined {
  const start = row.indexOf("{");
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(row.slice(start));
    const isLine = typeof value?.event === "string" &&
      typeof value.vm === "string" && typeof value.sequence === "number" &&
      !Number.isNaN(Date.parse(value.time));
    return isLine ? value : undefined;
  } catch {
    // A cut line is counted by the caller, not reported by itself.
    return undefined;
  }
}

/** How many lines a file gave. */
export interface ReadCounts {
  readonly lines: number;
  /** Lines that hold no event, such as cut ones. */
  readonly skipped: number;
}

/**
 * Reads a log file line by line, so that its size does not matter.
 *
 * @param file Its path.
 * @param handleLine Called with each line, in order.
 * @returns Counts; or why the file can't be read, with its name.
 */
export async function readLogFile(
  file: string,
  handleLine: (line: LogLine) => void,
): Promise<Result<ReadCounts, string>> {
  let lines = 0;
  let skipped = 0;
  try {
    const rows = createInterface({
      input: createReadStream(file),
      crlfDelay: Infinity,
    });
    for await (const row of rows) {
      if (row.trim() === "") continue;
      const line = parseLogLine(row);
      if (line === undefined) skipped += 1;
      else handleLine(line);
      lines += 1;
    }
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(`Cannot read log "${file}" after line ${lines}: ${reason}`);
  }
  return Ok({ lines, skipped });
}
