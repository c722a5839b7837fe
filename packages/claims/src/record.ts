/**
 * Records of the claim stream in the log.
 *
 * @module
 */
import type { CustomerId, InstanceId } from "@sardinestep/types";

/** Name of the stream that carries claims, releases and outcomes. */
export const CLAIM_STREAM = "claims";

/** Identifies one attempt of an entry process; not reused after a release. */
export interface ClaimId {
  /** The entry process that makes the claim. */
  readonly instance: InstanceId;
  /** Sequence number of the claim within that process, from 1. */
  readonly sequence: number;
}

/** Identifies a request by its key; each customer has its own key space. */
export interface KeyId {
  readonly customer: CustomerId;
  readonly key: string;
}

/** A record of the claim stream; the log service assigns its time. */
export type ClaimRecord =
  /** Requests the exclusive right to dispatch under the key. */
  | {
    readonly kind: "claim";
    readonly id: ClaimId;
    readonly keyId: KeyId;
    /** Hash of the body; a different body under the same key is refused. */
    readonly fingerprint: string;
  }
  /** Ends a claim permanently: nothing was or will be dispatched under it. */
  | {
    readonly kind: "release";
    readonly id: ClaimId;
    readonly keyId: KeyId;
  }
  /** Outcome of the dispatch under a claim. */
  | {
    readonly kind: "outcome";
    readonly id: ClaimId;
    readonly keyId: KeyId;
    readonly outcome: "completed" | "unknown";
    /** The response body, if it is small enough to store in the log. */
    readonly answer?: unknown;
  };

/** The records written by one append. */
export interface ClaimGroup {
  readonly kind: "group";
  readonly records: readonly ClaimRecord[];
}

/** Status of a key according to the claim stream, up to the last offset read. */
export type KeyStatus =
  /** The key has no valid claim, so no logged claim has led to a dispatch. */
  | { readonly kind: "free" }
  /** The holder may dispatch or has dispatched; no outcome is recorded. */
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
  /** Dispatched, but whether the call ran can't be determined. */
  | {
    readonly kind: "unknown";
    readonly holder: ClaimId;
    readonly fingerprint: string;
  }
  /** The key's time is outside the window that the log is guaranteed to cover. */
  | { readonly kind: "expired" };
