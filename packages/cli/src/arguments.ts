/**
 * Options and arguments of the command line, for cmd-ts.
 *
 * @module
 */
import * as cmd from "cmd-ts";

/** Default of `--settings`. */
export const DEFAULT_SETTINGS_FILE = "sardinestep.json";

/** Environment variable that names the settings file when `--settings` is omitted. */
export const SETTINGS_ENV_VARIABLE = "SARDINESTEP_SETTINGS";

/** A time: ISO 8601 or milliseconds since the Unix epoch. */
const TIME_TYPE: cmd.Type<string, number> = {
  displayName: "time",
  from: (text) => Promise.resolve(text).then(parseTime),
};

/**
 * Parses a time.
 *
 * @param text ISO 8601, or milliseconds since the Unix epoch.
 * @returns Milliseconds since the Unix epoch.
 * @throws {Error} If the text is neither; cmd-ts prints the message.
 * @example
 * ```ts
 * parseTime("2026-03-01T06:00:00Z");
 * ```
 */
export function parseTime(text: string): number {
  const timeMs = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  if (Number.isFinite(timeMs)) return timeMs;
  throw new Error(
    `Cannot read time "${text}": expected ISO 8601, such as 2026-03-01T06:00:00Z, or milliseconds`,
  );
}

/** A version number of the configuration. */
const VERSION_TYPE: cmd.Type<string, number> = {
  displayName: "version",
  from: (text) => {
    if (/^\d{1,15}$/.test(text)) return Promise.resolve(Number(text));
    return Promise.reject(
      new Error(`Cannot read version "${text}": expected a whole number`),
    );
  },
};

/** Options of every command, including those that call no process. */
export const COMMON_OPTIONS = {
  json: cmd.flag({ long: "json", description: "JSON for programs" }),
  settings: cmd.option({
    long: "settings",
    env: SETTINGS_ENV_VARIABLE,
    description: "settings file, which lists the control processes",
    type: cmd.string,
    defaultValue: () => DEFAULT_SETTINGS_FILE,
    defaultValueIsSerializable: true,
  }),
};

/** Creates an optional text option. */
export function createTextOption(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(cmd.string) });
}

/** Creates an optional time option. */
export function createTimeOption(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(TIME_TYPE) });
}

/** Creates an optional option for a configuration version. */
export function createVersionOption(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(VERSION_TYPE) });
}

/** Creates a required positional argument. */
export function createArgument(displayName: string, description: string) {
  return cmd.positional({ displayName, description, type: cmd.string });
}
