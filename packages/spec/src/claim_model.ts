/**
 * Specification of a call that may not be repeated: one key, three attempts
 * through two entries, over the real state machine and the real claim table.
 *
 * Faults are moves: an append lands late, twice or never (an answer that was
 * lost, an outage of the log); a move that is not taken for long is a pause;
 * a crash ends an entry's attempts at any step; records are trimmed.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import { ATTEMPT_COUNT, buildFacts } from "./claim_log.ts";
import { findClaimMoves } from "./claim_moves.ts";
import { findClaimViolations } from "./claim_safety.ts";
import type {
  ClaimLimits,
  ClaimModelOptions,
  ClaimMove,
  ClaimState,
  SpecAttempt,
} from "./claim_state.ts";
import { ClaimSteps, formatLog } from "./claim_steps.ts";
import type { Model } from "./explore.ts";

const DEFAULT_LIMITS: ClaimLimits = {
  attempts: ATTEMPT_COUNT,
  maxLog: 5,
  copies: 1,
  maxDispatches: 1,
  hasOutcomes: false,
  hasTime: false,
};

/**
 * Builds the specification.
 *
 * @param options Size, and the guard to drop in a mutant.
 * @returns A model for {@link exploreModel}.
 * @example
 * ```ts
 * exploreModel(buildClaimModel({ without: "abandon-is-terminal" }));
 * ```
 */
export function buildClaimModel(
  options: ClaimModelOptions = {},
): Model<ClaimState, ClaimMove> {
  const limits = { ...DEFAULT_LIMITS, ...options };
  const { hasOutcomes } = limits;
  const steps = new ClaimSteps({ without: options.without, hasOutcomes });
  return {
    initial: buildInitial(limits),
    findMoves: (state) => findClaimMoves(state, { ...limits, steps }),
    apply: (state, move) => steps.apply(state, move),
    findViolations: (state) => findClaimViolations(state, steps),
    formatState,
  };
}

/** Every attempt has begun and its claim is on its way. */
function buildInitial({ attempts, copies }: ClaimLimits): ClaimState {
  return {
    log: [],
    first: 0,
    clock: 0,
    attempts: Array.from({ length: attempts }, (_, attempt) => ({
      state: claims.openAttempt(buildFacts(attempt)).state,
      inFlight: ["claim" as const],
      sends: [],
    })),
    copiesLeft: copies,
    hasSentLate: false,
  };
}

/**
 * Leaves out what no later step depends on: the facts, which never change, and
 * why an attempt was abandoned.
 */
function formatState(state: ClaimState): string {
  const { attempts, clock, copiesLeft, first, hasSentLate, log } = state;
  const world = [first, clock, copiesLeft, hasSentLate].join();
  return `${world}|${formatLog(log)}|${attempts.map(formatAttempt).join("|")}`;
}

function formatAttempt(own: SpecAttempt): string {
  const place = own.isCrashed ? "crashed" : formatAttemptState(own.state);
  const flights = own.inFlight.join();
  return `${place} ${own.told ?? ""} ${flights} ${own.sends.join()}`;
}

function formatAttemptState(state: claims.AttemptState): string {
  switch (state.kind) {
    case "claiming":
    case "abandoned":
      return state.kind;
    case "won":
      return `won${state.notSent}`;
    case "dispatched":
      return `dispatched${state.dispatch}${state.isGivenUp}`;
    case "done":
      return `done${state.outcome}`;
  }
}
