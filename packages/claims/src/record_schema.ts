/**
 * Schemas that validate claim stream records when they are read.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { ClaimRecord } from "./record.ts";

const ID_TEXT_SCHEMA = z.string().min(1).max(256);
const CLAIM_ID_SCHEMA = z.object({
  instance: ID_TEXT_SCHEMA,
  sequence: z.int().min(1),
});
const KEY_ID_SCHEMA = z.object({
  customer: ID_TEXT_SCHEMA,
  key: ID_TEXT_SCHEMA,
});

const CLAIM_RECORD_SCHEMA = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claim"),
    id: CLAIM_ID_SCHEMA,
    keyId: KEY_ID_SCHEMA,
    fingerprint: z.string().max(256),
  }),
  z.object({
    kind: z.literal("release"),
    id: CLAIM_ID_SCHEMA,
    keyId: KEY_ID_SCHEMA,
  }),
  z.object({
    kind: z.literal("outcome"),
    id: CLAIM_ID_SCHEMA,
    keyId: KEY_ID_SCHEMA,
    outcome: z.enum(["completed", "unknown"]),
    answer: z.unknown().optional(),
  }),
]);

const GROUP_SCHEMA = z.object({
  kind: z.literal("group"),
  records: z.array(z.unknown()),
});

/** The valid records of a group and the number of invalid ones. */
export interface ParsedGroup {
  readonly records: readonly ClaimRecord[];
  /** Records of the group that match no schema. */
  readonly invalidCount: number;
}

/**
 * Parses one log record into the claim records of its group.
 *
 * @param value The record's value as read from the log.
 * @returns The valid records, or an error if the value is not a group.
 * @example
 * ```ts
 * parseGroup({ kind: "group", records: [] });
 * ```
 */
export function parseGroup(value: unknown): Result<ParsedGroup, string> {
  const group = GROUP_SCHEMA.safeParse(value);
  if (!group.success) return Err("Expected a group of claim records");
  const records: ClaimRecord[] = [];
  for (const item of group.data.records) {
    const record = CLAIM_RECORD_SCHEMA.safeParse(item);
    if (record.success) records.push(record.data);
  }
  const invalidCount = group.data.records.length - records.length;
  return Ok({ records, invalidCount });
}
