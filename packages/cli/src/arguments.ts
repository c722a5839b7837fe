/**
 * The command line's options and arguments, for cmd-ts.
 *
 * @module
 */
import * as cmd from "cmd-ts";

/** Where settings come from when `--settings` is left out. */
export const DEFAULT_SETTINGS_FILE = "sardinestep.json";

/** Names the settings file when `--settings` is left out. */
export const SETTINGS_VARIABLE = "SARDINESTEP_SETTINGS";

/** A moment: ISO 8601 or milliseconds since the Unix epoch. */
const MOMENT: cmd.Type<string, number> = {
  displayName: "time",
  from: (text) => Promise.resolve(text).then(parseMoment),
};

/**
 * Parses a moment.
 *
 * @param text ISO 8601, or milliseconds since the Unix epoch.
 * @returns Milliseconds since the Unix epoch.
 * @throws {Error} When it is neither, for the command line library to show.
 * @example
 * ```ts
 * parseMoment("2026-03-01T06:00:00Z");
 * ```
 */
export function parseMoment(text: string): number {
  const moment = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  if (Number.isFinite(moment)) return moment;
  throw new Error(
    `Cannot read time "${text}": expected ISO 8601, such as 2026-03-01T06:00:00Z, or milliseconds`,
  );
}

/** A version of the configuration. */
const VERSION_NUMBER: cmd.Type<string, number> = {
  displayName: "version",
  from: (text) => {
    if (/^\d{1,15}$/.test(text)) return Promise.resolve(Number(text));
    return Promise.reject(
      new Error(`Cannot read version "${text}": expected a whole number`),
    );
  },
};

/** Options that every command takes, also one that calls no process. */
export const COMMON_OPTIONS = {
  json: cmd.flag({ long: "json", description: "JSON for programs" }),
  settings: cmd.option({
    long: "settings",
    env: SETTINGS_VARIABLE,
    description: "the settings file, which names control processes",
    type: cmd.string,
    defaultValue: () => DEFAULT_SETTINGS_FILE,
    defaultValueIsSerializable: true,
  }),
};

/** An option that may be left out. */
export function createOption(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(cmd.string) });
}

/** A moment that may be left out. */
export function createMoment(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(MOMENT) });
}

/** A version that may be left out. */
export function createVersion(long: string, description: string) {
  return cmd.option({ long, description, type: cmd.optional(VERSION_NUMBER) });
}

/** An argument that must be there. */
export function createArgument(displayName: string, description: string) {
  return cmd.positional({ displayName, description, type: cmd.string });
}
