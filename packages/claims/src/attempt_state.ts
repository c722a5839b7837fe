/**
 * States, events and actions of one attempt.
 *
 * @module
 */
import type { ClaimId, ClaimRecord, KeyId, KeyStatus } from "./record.ts";

/** Identity and deadline of an attempt. */
export interface AttemptFacts {
  readonly id: ClaimId;
  readonly keyId: KeyId;
  readonly fingerprint: string;
  /** Nothing is sent at or after this time. */
  readonly deadlineAt: number;
}

/** Why an attempt ended without running the request. */
export type AbandonReason =
  | "lost"
  | "expired"
  | "unsettled"
  | "deadline"
  | "cancelled"
  | "refused";

/** State of an attempt. */
export type AttemptState =
  /** The claim has no verdict yet; nothing may be sent. */
  | { readonly kind: "claiming"; readonly facts: AttemptFacts }
  /** The claim holds the key; nothing has been sent. */
  | {
    readonly kind: "won";
    readonly facts: AttemptFacts;
    /** Number of dispatches proved not to have left this process. */
    readonly notSent: number;
  }
  /** The request may have reached an endpoint. */
  | {
    readonly kind: "dispatched";
    readonly facts: AttemptFacts;
    readonly dispatch: number;
    /** Whether the caller has been answered `unknown` already. */
    readonly isGivenUp: boolean;
  }
  /** Ended after a dispatch. */
  | {
    readonly kind: "done";
    readonly facts: AttemptFacts;
    readonly outcome: "completed" | "unknown";
  }
  /** Terminal: the request did not run, and nothing more will be sent. */
  | {
    readonly kind: "abandoned";
    readonly facts: AttemptFacts;
    readonly reason: AbandonReason;
  };

/** Verdict on the claim, as judged from the log. */
export type AttemptVerdict =
  | { readonly kind: "won" }
  | { readonly kind: "lost"; readonly status: KeyStatus }
  | { readonly kind: "expired" }
  /** No verdict in time, or the log is unreachable. */
  | { readonly kind: "unsettled"; readonly retryAfterMs: number };

/** An event of an attempt. */
export type AttemptEvent =
  | { readonly kind: "verdict"; readonly verdict: AttemptVerdict }
  /** An endpoint is available; `now` is read just before it is called. */
  | { readonly kind: "dispatch"; readonly now: number }
  /** The connection failed before the first byte of the request was sent. */
  | { readonly kind: "not_sent"; readonly dispatch: number }
  /** The endpoint reports that it did not and will not run the request. */
  | { readonly kind: "refused"; readonly dispatch: number }
  /** The endpoint sent a complete response. */
  | {
    readonly kind: "answered";
    readonly dispatch: number;
    readonly answer: unknown;
  }
  /** The connection failed after the first byte of the request was sent. */
  | { readonly kind: "broken"; readonly dispatch: number }
  /** The deadline passed or the caller disconnected. */
  | { readonly kind: "give_up"; readonly reason: "deadline" | "cancelled" };

/** The answer to the caller. */
export type AttemptAnswer =
  | { readonly kind: "completed"; readonly answer: unknown }
  | { readonly kind: "not_run"; readonly reason: AbandonReason }
  | { readonly kind: "unknown" };

/** An action for the entry to perform. */
export type AttemptAction =
  | { readonly kind: "append_claim"; readonly record: ClaimRecord }
  /** Send the request once, on a new connection. */
  | { readonly kind: "send"; readonly dispatch: number }
  | { readonly kind: "answer"; readonly answer: AttemptAnswer }
  /** Append when the log has capacity; losing the record is safe. */
  | { readonly kind: "record_later"; readonly record: ClaimRecord };

/** An attempt's next state and the actions to perform, in order. */
export interface AttemptTransition {
  readonly state: AttemptState;
  readonly actions: readonly AttemptAction[];
}
