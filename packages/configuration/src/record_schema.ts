/**
 * Schema of the configuration stream's records, validated on reading.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { ConfigurationRecord } from "./record.ts";

const TEXT = z.string().max(1_000);
const VERSION = z.int().min(0);

const RECORD_SCHEMA = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("publish"),
    recordId: TEXT,
    base: VERSION,
    author: TEXT,
    note: TEXT,
    configuration: z.unknown(),
  }),
  z.object({
    kind: z.literal("renewal"),
    version: VERSION,
    author: TEXT,
    note: TEXT,
    configuration: z.unknown(),
    seenThrough: z.int().min(-1),
  }),
]);

/**
 * Parses the value of one record of the stream.
 *
 * @param value The value as read from the log.
 * @returns The record, or an error if the value does not match the schema.
 * @example
 * ```ts
 * parseConfigurationRecord({ kind: "other" }).isErr(); // true
 * ```
 */
export function parseConfigurationRecord(
  value: unknown,
): Result<ConfigurationRecord, string> {
  const parsed = RECORD_SCHEMA.safeParse(value);
  if (!parsed.success) return Err("Expected a publish or renewal record");
  return Ok(parsed.data as ConfigurationRecord);
}
