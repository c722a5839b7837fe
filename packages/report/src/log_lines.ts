/**
 * Parses the logs of gateways.
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
 * Parses one line. Text before the JSON object, such as the columns of a log
 * collector, is ignored.
 *
 * @param row A line of a log.
 * @returns The line; undefined if it is truncated or holds no event.
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
    // The caller counts truncated lines.
    return undefined;
  }
}

/**
 * Returns a numeric field of a line, or undefined if the line lacks it.
 *
 * @example
 * ```ts
 * getNumber(line, "tookMs");
 * ```
 */
export function getNumber(line: LogLine, field: string): number | undefined {
  const value = line[field];
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/** Numbers of lines read from a file. */
export interface ReadCounts {
  readonly lines: number;
  /** Lines that hold no event, such as truncated ones. */
  readonly skipped: number;
}

/**
 * Reads a log file as a stream, so that files of any size can be read.
 *
 * @param file Its path.
 * @param handleLine Called with each line, in order.
 * @returns The counts, or the reason why the file can't be read, with its name.
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
