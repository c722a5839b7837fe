/**
 * The settings file of `sardinestep-fakes`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { endpointSettingsSchema } from "./endpoint_settings.ts";
import { logSettingsSchema } from "./log.ts";
import { storeSettingsSchema } from "./store.ts";
import { vmListSettingsSchema } from "./vm_list.ts";

/** Settings of all fakes of one process. */
export const fakesSettingsSchema = z.strictObject({
  /** Serves the admin paths of every fake, also while it refuses connections. */
  adminListen: z.string().optional(),
  logs: z.array(logSettingsSchema).default([]),
  vmLists: z.array(vmListSettingsSchema).default([]),
  stores: z.array(storeSettingsSchema).default([]),
  endpoints: z.array(endpointSettingsSchema).default([]),
});
export type FakesSettings = z.input<typeof fakesSettingsSchema>;

/**
 * Reads a settings file and reports every invalid field with its path.
 *
 * @param path The file.
 * @returns The settings, or an error text that lists the invalid fields.
 * @example
 * ```ts
 * const settings = readSettings("fakes.json").unwrap();
 * ```
 */
export function readSettings(path: string): Result<FakesSettings, string> {
  try {
    const value: unknown = JSON.parse(readFileSync(path, "utf8"));
    const parsed = fakesSettingsSchema.safeParse(value);
    if (parsed.success) return Ok(parsed.data);
    return Err(
      `Cannot use settings "${path}":\n${z.prettifyError(parsed.error)}`,
    );
  } catch (error) {
    return Err(`Cannot read settings "${path}": ${error}`);
  }
}
