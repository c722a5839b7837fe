/**
 * Reads and validates settings files.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { buildFaults, type ValidationFault } from "./fault.ts";

/**
 * Validates settings against a schema.
 *
 * @param schema The schema of the settings.
 * @param value Plain data as read from JSON.
 * @returns The settings with defaults filled in, or all faults.
 * @example
 * ```ts
 * parseSettings(CLI_SETTINGS_SCHEMA, { controls: ["127.0.0.1:7001"] });
 * ```
 */
export function parseSettings<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, readonly ValidationFault[]> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? Ok(parsed.data)
    : Err(buildFaults(parsed.error, value));
}

/**
 * Reads and validates a settings file. Reads synchronously, since a program
 * does this once at startup.
 *
 * @param schema The schema of the settings.
 * @param file Path of the JSON file.
 * @returns The settings, or all faults with the file name.
 * @example
 * ```ts
 * const settings = readSettingsFile(ENTRY_SETTINGS_SCHEMA, "entry.json");
 * ```
 */
export function readSettingsFile<T>(
  schema: z.ZodType<T>,
  file: string,
): Result<T, readonly ValidationFault[]> {
  return readJsonFile(file).andThen((value) =>
    parseSettings(schema, value).mapErr((faults) =>
      faults.map((fault) => ({ ...fault, file }))
    )
  );
}

/**
 * Reads a JSON file synchronously.
 *
 * @param file Path of the file.
 * @returns The parsed value, or one fault with the file name.
 * @example
 * ```ts
 * readJsonFile("base.json").map((base) => buildRawConfiguration(base, {}));
 * ```
 */
export function readJsonFile(
  file: string,
): Result<unknown, readonly ValidationFault[]> {
  const text = readText(file);
  if (text.isErr()) return text;
  try {
    return Ok(JSON.parse(text.value));
  } catch (error) {
    const expected = `JSON (${getMessage(error)})`;
    return Err([{ path: "$", value: text.value, expected, file }]);
  }
}

function readText(file: string): Result<string, readonly ValidationFault[]> {
  try {
    return Ok(readFileSync(file, "utf8"));
  } catch (error) {
    const expected = `a readable file (${getMessage(error)})`;
    return Err([{ path: "$", value: undefined, expected, file }]);
  }
}

function getMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
