/**
 * Options and results of `KeyMint`.
 *
 * @module
 */
import type { CustomerId, InstanceId } from "@sardinestep/types";
import type { KeyId } from "./record.ts";

/** Options of a `KeyMint`. */
export interface KeyMintOptions {
  /** Id of the minting process; a new one after each start. */
  readonly instance: InstanceId;
  /** How long after minting an attempt may begin, by this process's clock. */
  readonly ttlMs: number;
  /** Maximum number of used keys stored for each customer. */
  readonly maxUsedPerCustomer: number;
  /** Random bytes generated at start; they bind a key to its customer. */
  readonly secret: Uint8Array;
}

/** Status of a key at the instance that minted it. */
export type MintedKeyStatus =
  | { readonly kind: "running" }
  | { readonly kind: "completed"; readonly body: unknown }
  | { readonly kind: "unknown" }
  /** Did not run and never will run. */
  | { readonly kind: "closed" };

/** Result of `KeyMint.begin`. */
export type BeginResult =
  /** This attempt may dispatch; `attempt` identifies it in `KeyMint.finish`. */
  | { readonly kind: "run"; readonly attempt: number }
  | { readonly kind: "running" }
  /** An earlier attempt has ended with this status. */
  | { readonly kind: "answer"; readonly status: MintedKeyStatus }
  | { readonly kind: "expired" }
  /** The key belongs to another instance or customer, or is invalid. */
  | { readonly kind: "foreign" }
  /** The key was used before with another body. */
  | { readonly kind: "reused" }
  /** The customer has too many used keys; this attempt must not run. */
  | { readonly kind: "full"; readonly retryAfterMs: number }
  /** This instance is stopping; the key will never run. */
  | { readonly kind: "closed" };

/** How an attempt under a minted key ended. */
export type MintedAttemptResult =
  | { readonly kind: "completed"; readonly body: unknown }
  | { readonly kind: "unknown" }
  /** Proved not to have run; another attempt may begin. */
  | { readonly kind: "not_run" };

/** Customer of the minted keys, and the monotonic time. */
export interface MintOptions {
  readonly customer: CustomerId;
  readonly now: number;
}

/** Fingerprint of the body to run under a key, and the monotonic time. */
export interface BeginOptions {
  readonly now: number;
  readonly fingerprint: string;
}

/**
 * Sent to other entries on a planned stop, so that they can answer requests with
 * these keys; they can't run the keys.
 */
export interface ExportedAnswers {
  readonly instance: InstanceId;
  readonly answers: readonly {
    readonly keyId: KeyId;
    readonly status: MintedKeyStatus;
  }[];
  /**
   * An unlisted key of this instance that was minted at or after this time never
   * ran and never will; the status of an older one is not known.
   */
  readonly unusedClosedFromMs: number;
}
