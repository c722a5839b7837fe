/**
 * Keys of prompt parts, the same on all VMs.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";
import { createHash } from "node:crypto";

/** Identifies a prompt part at a service and model; as short as a fingerprint. */
export type PartKey = string;

/** Input of {@link buildPartKeys}. */
export interface PartKeysInput {
  readonly service: ServiceId;
  readonly model?: string;
  /** Ids of the prompt's parts in order, of any length. */
  readonly partIds: readonly string[];
}

/** Distinguishes part keys from fingerprints of requests, which share a list. */
const PART_PREFIX = "part.";
const HASH_LENGTH = 12;
/** Most parts of a request that are kept: the most specific ones. */
const MAX_PARTS = 16;

/**
 * Builds the keys of the parts that other requests may share, in their order. The last
 * part of a prompt belongs to its request alone.
 *
 * @example
 * ```ts
 * buildPartKeys({ service: "engine", model: "m", partIds: ["5c1e", "91bd", "e440"] });
 * // two keys
 * ```
 */
export function buildPartKeys(
  { service, model = "", partIds }: PartKeysInput,
): PartKey[] {
  const shared = new Set(partIds.slice(0, -1));
  return [...shared].slice(-MAX_PARTS).map((id) => {
    const hash = createHash("sha256");
    hash.update(JSON.stringify([service, model, id]));
    return PART_PREFIX + hash.digest("base64url").slice(0, HASH_LENGTH);
  });
}

/** Whether a quarantine entry is for a prompt part. */
export function isPartKey(key: string): boolean {
  return key.startsWith(PART_PREFIX);
}
