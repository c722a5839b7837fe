/**
 * States and moves of the specification of a call that may not be repeated.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import type { Clock, SpecRecord } from "./claim_log.ts";
import type { FoldMechanism } from "./claim_log_mirror.ts";

/** Guards of the claimant that a mutant can drop. */
export const ATTEMPT_MECHANISM = {
  claimSettledFirst: "claim-settled-first",
  abandonIsTerminal: "abandon-is-terminal",
  deadlineAtDispatch: "deadline-at-dispatch",
  dispatchNumber: "dispatch-number",
  brokenIsUnknown: "broken-is-unknown",
  noTakeOver: "no-take-over",
} as const;
export type AttemptMechanism =
  (typeof ATTEMPT_MECHANISM)[keyof typeof ATTEMPT_MECHANISM];

/** Any guard of this specification. */
export type ClaimMechanism = FoldMechanism | AttemptMechanism;

/**
 * What became of one send, as an all-seeing observer knows it. A request that
 * may still reach its endpoint counts as `ran`: two of these are one too many
 * whenever they arrive.
 */
export type Fate = "ran" | "dead";

/** One attempt and what is on its way for it. */
export interface SpecAttempt {
  /** All attempts are open from the start: opening later is a pause. */
  readonly state: claims.AttemptState;
  readonly isCrashed?: boolean;
  readonly told?: claims.AttemptAnswer["kind"];
  /** Records handed to the log that may land at any time or never. */
  readonly inFlight: readonly SpecRecord["kind"][];
  readonly sends: readonly Fate[];
}

/** A state of the specification. */
export interface ClaimState {
  readonly log: readonly SpecRecord[];
  /** The oldest offset that the log keeps. */
  readonly first: number;
  readonly clock: Clock;
  readonly attempts: readonly SpecAttempt[];
  /** Appends that may still be sent a second time. */
  readonly copiesLeft: number;
  /** Whether something was sent after the deadline. */
  readonly hasSentLate: boolean;
}

/** What happens next. */
export type ClaimMove =
  /** An answer was lost, and the claim is sent again. */
  | { readonly kind: "copy"; readonly attempt: number }
  /** Only in a mutant: another entry ends the claim of one that is gone. */
  | { readonly kind: "take_over"; readonly attempt: number }
  | {
    readonly kind: "land";
    readonly attempt: number;
    readonly record: SpecRecord["kind"];
  }
  /** Control reads the log, from its start or from what is left of it. */
  | {
    readonly kind: "verdict";
    readonly attempt: number;
    readonly reader: "old" | "new" | "none";
  }
  | {
    readonly kind: "dispatch";
    readonly attempt: number;
    /** Whether the entry was paused past the deadline. */
    readonly isLate: boolean;
    /** What will become of it. */
    readonly fate: Fate;
  }
  | { readonly kind: "give_up"; readonly attempt: number }
  | {
    readonly kind: "ending";
    readonly attempt: number;
    readonly dispatch: number;
    readonly ending: "not_sent" | "refused" | "answered" | "broken";
  }
  | { readonly kind: "crash"; readonly instance: string }
  | { readonly kind: "clock" }
  | { readonly kind: "trim" };

/** Size of the exploration. */
export interface ClaimModelOptions {
  readonly without?: ClaimMechanism;
  /** Attempts that may be opened. */
  readonly attempts?: number;
  readonly maxLog?: number;
  readonly copies?: number;
  /** Dispatches of one attempt, of which all but the last are not sent. */
  readonly maxDispatches?: number;
  /** Whether outcomes are recorded. */
  readonly hasOutcomes?: boolean;
  /** Whether time passes beyond the key window, and records are trimmed. */
  readonly hasTime?: boolean;
}

/** Sizes with nothing left open. */
export type ClaimLimits = Required<Omit<ClaimModelOptions, "without">>;
