/**
 * States, events and actions of one attempt.
 *
 * @module
 */
import type { ClaimId, ClaimRecord, KeyId, KeyStatus } from "./record.ts";

/** What an attempt is about. */
export interface AttemptFacts {
  readonly id: ClaimId;
  readonly keyId: KeyId;
  readonly fingerprint: string;
  /** After this moment nothing is sent. */
  readonly deadlineAt: number;
}

/** Why an attempt ended without a dispatch. */
export type AbandonReason =
  | "lost"
  | "expired"
  | "unsettled"
  | "deadline"
  | "cancelled"
  | "refused";

/** Where an attempt stands. */
export type AttemptState =
  /** The claim is on its way; nothing may be sent. */
  | { readonly kind: "claiming"; readonly facts: AttemptFacts }
  /** The claim holds the key; nothing has been sent. */
  | {
    readonly kind: "won";
    readonly facts: AttemptFacts;
    /** Dispatches that are proved not to have left this process. */
    readonly notSent: number;
  }
  /** The request may have reached an endpoint. */
  | {
    readonly kind: "dispatched";
    readonly facts: AttemptFacts;
    readonly dispatch: number;
    /** Whether the caller has been told `unknown` already. */
    readonly isGivenUp: boolean;
  }
  /** Dispatched and ended. */
  | {
    readonly kind: "done";
    readonly facts: AttemptFacts;
    readonly outcome: "completed" | "unknown";
  }
  /** Ended for good; nothing was sent and nothing will be. */
  | {
    readonly kind: "abandoned";
    readonly facts: AttemptFacts;
    readonly reason: AbandonReason;
  };

/** What the log said of the claim. */
export type AttemptVerdict =
  | { readonly kind: "won" }
  | { readonly kind: "lost"; readonly status: KeyStatus }
  | { readonly kind: "expired" }
  | { readonly kind: "unsettled"; readonly retryAfterMs: number };

/** What happens to an attempt. */
export type AttemptEvent =
  | { readonly kind: "verdict"; readonly verdict: AttemptVerdict }
  /** An endpoint is ready to be called; `now` is read just before the call. */
  | { readonly kind: "dispatch"; readonly now: number }
  /** The connection failed before the first byte of the request. */
  | { readonly kind: "not_sent"; readonly dispatch: number }
  /** The endpoint says that it did not and will not run the request. */
  | { readonly kind: "refused"; readonly dispatch: number }
  /** The endpoint answered whole. */
  | {
    readonly kind: "answered";
    readonly dispatch: number;
    readonly answer: unknown;
  }
  /** The connection failed after the first byte. */
  | { readonly kind: "broken"; readonly dispatch: number }
  /** The deadline has passed or the caller has gone. */
  | { readonly kind: "give_up"; readonly reason: "deadline" | "cancelled" };

/** What the caller is told. */
export type AttemptAnswer =
  | { readonly kind: "completed"; readonly answer: unknown }
  | { readonly kind: "not_run"; readonly reason: AbandonReason }
  | { readonly kind: "unknown" };

/** What is to be done, in this order. */
export type AttemptAction =
  | { readonly kind: "append_claim"; readonly record: ClaimRecord }
  /** Send the request, once, on a fresh connection. */
  | { readonly kind: "send"; readonly dispatch: number }
  | { readonly kind: "answer"; readonly answer: AttemptAnswer }
  /** Append when the log allows; losing it harms no safety. */
  | { readonly kind: "record_later"; readonly record: ClaimRecord };

/** An attempt's next state and what is to be done. */
export interface AttemptStep {
  readonly state: AttemptState;
  readonly actions: readonly AttemptAction[];
}
