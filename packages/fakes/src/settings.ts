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

/** All stand-ins of one process. */
export const fakesSettingsSchema = z.strictObject({
  /** Reaches every stand-in's admin calls, also while its connects fail. */
  adminListen: z.string().optional(),
  logs: z.array(logSettingsSchema).default([]),
  vmLists: z.array(vmListSettingsSchema).default([]),
  stores: z.array(storeSettingsSchema).default([]),
  endpoints: z.array(endpointSettingsSchema).default([]),
});
export type FakesSettings = z.input<typeof fakesSettingsSchema>;

/**
 * Reads a settings file and names every fault with its path.
 *
 * @param path The file.
 * @returns The settings, or a text for the person who wrote the file.
 * @example
 * ```ts
 * const settings = readSettings("fakes.json").unwrap();
 * ```
 */
export function readSettings(path: string): Result<FakesSettings, string> {
  try {
    const value: unknown = JSON.parse(readFileSync(path, "utf8"));
    const checked = fakesSettingsSchema.safeParse(value);
    if (checked.success) return Ok(checked.data);
    return Err(
      `Cannot use settings "${path}":\n${z.prettifyError(checked.error)}`,
    );
  } catch (error) {
    return Err(`Cannot read settings "${path}": ${error}`);
  }
}
