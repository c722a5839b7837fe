/**
 * Fingerprints of requests, the same on all VMs.
 *
 * @module
 */
import type { CustomerId } from "@sardinestep/types";
import { createHash } from "node:crypto";

/** Identifies equal requests of one customer; 72 bits in base64url. */
export type Fingerprint = string;

/** Properties by which two requests are equal. */
export interface FingerprintInput {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Undefined on routes without API keys. */
  readonly customer?: CustomerId;
  readonly body?: Uint8Array;
  /** Ids of the parts of the prompt, if it has one. */
  readonly partIds?: readonly string[];
}

const FINGERPRINT_LENGTH = 12;

/**
 * Builds the fingerprint of a request. Headers other than the prompt are excluded,
 * since ids and deadlines differ between attempts.
 *
 * @example
 * ```ts
 * const first = buildFingerprint({ method: "POST", host: "a", path: "/x", body });
 * const again = buildFingerprint({ method: "POST", host: "a", path: "/x", body });
 * first === again; // true
 * ```
 */
export function buildFingerprint(input: FingerprintInput): Fingerprint {
  const { method, host, path, customer = "", body, partIds = [] } = input;
  const hash = createHash("sha256");
  hash.update(JSON.stringify([method, host, path, customer, ...partIds]));
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}
