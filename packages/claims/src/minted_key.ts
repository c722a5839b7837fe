/**
 * What is said of minted keys by the instance that minted them.
 *
 * @module
 */
import type { CustomerId, InstanceId } from "@sardinestep/types";
import type { KeyId } from "./record.ts";

/** Limits and identity of a `KeyMint`. */
export interface KeyMintOptions {
  /** The instance that mints; a new one after each start. */
  readonly instance: InstanceId;
  /** How long after minting a key may begin, by this process's clock. */
  readonly ttlMs: number;
  /** Begun keys that are remembered for each customer. */
  readonly maxUsed: number;
  /** Random bytes of this run; binds a key to its customer. */
  readonly secret: Uint8Array;
}

/** What this instance knows of one of its keys. */
export type MintedStatus =
  | { readonly kind: "running" }
  | { readonly kind: "completed"; readonly body: unknown }
  | { readonly kind: "unknown" }
  /** Did not run and never will. */
  | { readonly kind: "closed" };

/** How a request under a minted key may go on. */
export type MintedBegin =
  /** This one attempt may dispatch; `attempt` names it in `KeyMint.finish`. */
  | { readonly kind: "run"; readonly attempt: number }
  | { readonly kind: "running" }
  /** It has ended before. */
  | { readonly kind: "answer"; readonly status: MintedStatus }
  | { readonly kind: "expired" }
  /** Not a key of this instance and this customer. */
  | { readonly kind: "foreign" }
  /** The key was used with another body. */
  | { readonly kind: "reused" }
  /** The customer has too many begun keys; this attempt was not run. */
  | { readonly kind: "full"; readonly retryAfterMs: number }
  /** This instance is stopping; the key will never run. */
  | { readonly kind: "closed" };

/** How an attempt under a minted key has ended. */
export type MintedEnding =
  | { readonly kind: "completed"; readonly body: unknown }
  | { readonly kind: "unknown" }
  /** Proved not to have run; the key may begin again. */
  | { readonly kind: "not_run" };

/** For whom keys are minted, and when by the monotonic clock. */
export interface MintOptions {
  readonly customer: CustomerId;
  readonly now: number;
}

/** What begins under a key, and when by the monotonic clock. */
export interface BeginOptions {
  readonly now: number;
  readonly fingerprint: string;
}

/** What is handed to neighbours on a planned stop, for answers only. */
export interface ExportedAnswers {
  readonly instance: InstanceId;
  readonly answers: readonly {
    readonly keyId: KeyId;
    readonly status: MintedStatus;
  }[];
  /**
   * A key of this instance that is not listed and was minted at or after this
   * moment never ran and never will; of an older one nothing is known.
   */
  readonly unusedClosedFromMs: number;
}
