/**
 * Names equal requests alike on all VMs.
 *
 * @module
 */
import type { CustomerId } from "@sardinestep/types";
import { createHash } from "node:crypto";

/** Identifies equal requests of one customer; 72 bits as text. */
export type Fingerprint = string;

/** What makes two requests equal. */
export interface FingerprintFacts {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Undefined where callers need no key. */
  readonly customer?: CustomerId;
  readonly body?: Uint8Array;
}

const FINGERPRINT_LENGTH = 12;

/**
 * Builds the fingerprint of a request. Headers don't count: ids and deadlines
 * differ with each attempt.
 *
 * @example
 * ```ts
 * const first = buildFingerprint({ method: "POST", host: "a", path: "/x", body });
 * const again = buildFingerprint({ method: "POST", host: "a", path: "/x", body });
 * first === again; // true
 * ```
 */
export function buildFingerprint(facts: FingerprintFacts): Fingerprint {
  const { method, host, path, customer = "", body } = facts;
  const hash = createHash("sha256");
  hash.update(JSON.stringify([method, host, path, customer]));
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}
