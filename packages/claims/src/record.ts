/**
 * Records of the log's claim stream.
 *
 * @module
 */
import type { CustomerId, InstanceId } from "@sardinestep/types";

/** Name of the stream that carries claims, releases and outcomes. */
export const CLAIM_STREAM = "claims";

/** Names one attempt of one entry process; never used again after a release. */
export interface ClaimId {
  /** The entry process that claims. */
  readonly instance: InstanceId;
  /** Counts that process's claims from 1. */
  readonly sequence: number;
}

/** The request that a claim is for: keys belong to a customer. */
export interface KeyId {
  readonly customer: CustomerId;
  readonly key: string;
}

/** What the claim stream says; all times come from the log service. */
export type ClaimRecord =
  /** Asks to be the one that may dispatch under the key. */
  | {
    readonly kind: "claim";
    readonly id: ClaimId;
    readonly keyId: KeyId;
    /** Hash of the body: another body under the same key is refused. */
    readonly fingerprint: string;
  }
  /** Ends one claim for good: nothing was and nothing will be dispatched under it. */
  | {
    readonly kind: "release";
    readonly id: ClaimId;
    readonly keyId: KeyId;
  }
  /** What became of the one dispatch. */
  | {
    readonly kind: "outcome";
    readonly id: ClaimId;
    readonly keyId: KeyId;
    readonly outcome: "completed" | "unknown";
    /** The answer's body where it is small enough to keep in the log. */
    readonly answer?: unknown;
  };

/** One append: all records that waited for it. */
export interface ClaimGroup {
  readonly kind: "group";
  readonly records: readonly ClaimRecord[];
}

/** What the claim stream says of a key, up to the offset that was read. */
export type KeyStatus =
  /** No claim that counts: nobody has dispatched under a logged claim. */
  | { readonly kind: "free" }
  /** The holder may dispatch or has; nothing more is known. */
  | {
    readonly kind: "held";
    readonly holder: ClaimId;
    readonly fingerprint: string;
  }
  | {
    readonly kind: "completed";
    readonly holder: ClaimId;
    readonly fingerprint: string;
    readonly answer?: unknown;
  }
  /** Dispatched with an outcome that nobody can tell. */
  | {
    readonly kind: "unknown";
    readonly holder: ClaimId;
    readonly fingerprint: string;
  }
  /** The key's own time is outside the window that the log is sure to cover. */
  | { readonly kind: "expired" };
