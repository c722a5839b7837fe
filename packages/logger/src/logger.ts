/**
 * Log lines for changes of state, by consola. Nothing here is called once per
 * request: what may happen per request is a counter or a histogram.
 *
 * @module
 */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";

/** Small plain values that go with a line. */
export type LogDetail = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line for each change of state. */
export interface Logger {
  /**
   * Writes that a state has changed.
   *
   * @param name Stable name of the change, such as `config_applied`.
   * @param message What has changed, for people.
   * @param detail Values that go with it.
   */
  change(name: string, message: string, detail?: LogDetail): void;
  /** Writes that something failed which operators should look at. */
  fault(name: string, message: string, detail?: LogDetail): void;
  /** Writes what helps developers only; hidden unless the level is `debug`. */
  debug(name: string, message: string, detail?: LogDetail): void;
}

/** How {@link createLogger} writes. */
export interface LoggerOptions {
  readonly format: "text" | "json";
  readonly level: "error" | "warn" | "info" | "debug";
  /** The program's name, such as `entry`. */
  readonly process: string;
  readonly vmId: string;
  /** Where lines go; standard error by default, so that output stays clean. */
  readonly write?: (line: string) => void;
  /** Wall clock in milliseconds since the Unix epoch; for tests. */
  readonly readWallMs?: () => number;
}

/** A JSON line. Fields are stable: programs may read them. */
export interface LogLine {
  /** ISO 8601 time in UTC. */
  readonly time: string;
  readonly level: "error" | "info" | "debug";
  readonly process: string;
  readonly vmId: string;
  readonly name: string;
  readonly message: string;
  readonly detail: LogDetail;
}

/**
 * Makes the logger of one process.
 *
 * @param options Format, level and who writes.
 * @returns A logger that drops lines below its level.
 * @example
 * ```ts
 * const logger = createLogger({ format: "json", level: "info", process: "entry", vmId: "vm-1" });
 * logger.change("config_applied", "Configuration 4 is in force", { version: 4 });
 * ```
 */
export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? writeToStderr;
  const readWallMs = options.readWallMs ?? Date.now;
  const formatLine = options.format === "json" ? JSON.stringify : formatText;
  const reporter: ConsolaReporter = {
    log: (entry) => write(formatLine(entry.args[0] as LogLine)),
  };
  const consola = createConsola({
    level: LogLevels[options.level],
    reporters: [reporter],
    // Consola folds equal lines that follow closely; each change of state counts.
    throttle: 0,
  });
  const buildLine = (
    level: LogLine["level"],
    name: string,
    message: string,
    detail: LogDetail,
  ): LogLine => ({
    time: new Date(readWallMs()).toISOString(),
    level,
    process: options.process,
    vmId: options.vmId,
    name,
    message,
    detail,
  });
  return {
    change(name, message, detail = {}) {
      consola.info.raw(buildLine("info", name, message, detail));
    },
    fault(name, message, detail = {}) {
      consola.error.raw(buildLine("error", name, message, detail));
    },
    debug(name, message, detail = {}) {
      consola.debug.raw(buildLine("debug", name, message, detail));
    },
  };
}

function writeToStderr(line: string): void {
  process.stderr.write(`${line}\n`);
}

function formatText(line: LogLine): string {
  const who = `${line.process}@${line.vmId}`;
  const level = line.level.toUpperCase().padEnd(5);
  const detail = formatDetail(line.detail);
  return `${line.time} ${level} ${who} ${line.name}: ${line.message}${detail}`;
}

function formatDetail(detail: LogDetail): string {
  const fields = Object.entries(detail)
    .filter(([, value]) => value !== undefined)
    .map(([field, value]) => `${field}=${formatValue(value)}`);
  return fields.length === 0 ? "" : ` (${fields.join(" ")})`;
}

/** Quotes texts with spaces or line ends, so that a line stays one line. */
function formatValue(value: LogDetail[string]): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
