/**
 * Logs state changes, using consola. Not called once per request: whatever can
 * happen per request is recorded by a counter or a histogram.
 *
 * @module
 */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";

/** Small plain values attached to a log line. */
export type LogDetail = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one log line for each state change. */
export interface Logger {
  /**
   * Logs a state change at level `info`.
   *
   * @param name Stable name of the event, such as `config_applied`.
   * @param message Human-readable description.
   * @param detail Values attached to the line.
   */
  info(name: string, message: string, detail?: LogDetail): void;
  /** Logs a failure that needs an operator's attention, at level `error`. */
  error(name: string, message: string, detail?: LogDetail): void;
  /** Logs information for developers; hidden unless the level is `debug`. */
  debug(name: string, message: string, detail?: LogDetail): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly format: "text" | "json";
  readonly level: "error" | "warn" | "info" | "debug";
  /** Name of the program, such as `entry`. */
  readonly process: string;
  readonly vmId: string;
  /** Defaults to standard error, to keep standard output clean. */
  readonly write?: (line: string) => void;
  /** Wall clock in milliseconds since the Unix epoch; for tests. */
  readonly readWallMs?: () => number;
}

/** A JSON log line. Its fields are stable, so that programs can parse them. */
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
 * Creates the logger of one process.
 *
 * @param options Format, level and origin of the lines.
 * @returns A logger that drops lines below its level.
 * @example
 * ```ts
 * const logger = createLogger({ format: "json", level: "info", process: "entry", vmId: "vm-1" });
 * logger.info("config_applied", "Configuration 4 is in force", { version: 4 });
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
    // Consola merges equal lines in quick succession; each is a state change.
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
    info(name, message, detail = {}) {
      consola.info.raw(buildLine("info", name, message, detail));
    },
    error(name, message, detail = {}) {
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
  const origin = `${line.process}@${line.vmId}`;
  const level = line.level.toUpperCase().padEnd(5);
  const detail = formatDetail(line.detail);
  return `${line.time} ${level} ${origin} ${line.name}: ${line.message}${detail}`;
}

function formatDetail(detail: LogDetail): string {
  const fields = Object.entries(detail)
    .filter(([, value]) => value !== undefined)
    .map(([field, value]) => `${field}=${formatValue(value)}`);
  return fields.length === 0 ? "" : ` (${fields.join(" ")})`;
}

/** Quotes text with spaces or line breaks: a log line must stay one line. */
function formatValue(value: LogDetail[string]): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
