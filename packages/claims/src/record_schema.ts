/**
 * Shape of the claim stream's records, checked on reading.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { ClaimRecord } from "./record.ts";

const TEXT = z.string().min(1).max(256);
const CLAIM_ID = z.object({ instance: TEXT, sequence: z.int().min(1) });
const KEY_ID = z.object({ customer: TEXT, key: TEXT });

/** Shape of one record. */
const CLAIM_RECORD_SCHEMA = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claim"),
    id: CLAIM_ID,
    keyId: KEY_ID,
    fingerprint: z.string().max(256),
  }),
  z.object({ kind: z.literal("release"), id: CLAIM_ID, keyId: KEY_ID }),
  z.object({
    kind: z.literal("outcome"),
    id: CLAIM_ID,
    keyId: KEY_ID,
    outcome: z.enum(["completed", "unknown"]),
    answer: z.unknown().optional(),
  }),
]);

const GROUP_SCHEMA = z.object({
  kind: z.literal("group"),
  records: z.array(z.unknown()),
});

/** A group as read: what can be used of it, and how much can't. */
export interface ParsedGroup {
  readonly records: readonly ClaimRecord[];
  /** Records of the group that have no known shape. */
  readonly badCount: number;
}

/**
 * Parses one record of the log into claim records.
 *
 * @param value The record's value as read from the log.
 * @returns The usable records, or an error when it is no group at all.
 * @example
 * ```ts
 * parseGroup({ kind: "group", records: [] });
 * ```
 */
export function parseGroup(value: unknown): Result<ParsedGroup, string> {
  const group = GROUP_SCHEMA.safeParse(value);
  if (!group.success) return Err("expected a group of claim records");
  const records: ClaimRecord[] = [];
  for (const item of group.data.records) {
    const record = CLAIM_RECORD_SCHEMA.safeParse(item);
    if (record.success) records.push(record.data);
  }
  const badCount = group.data.records.length - records.length;
  return Ok({ records, badCount });
}
