/**
 * Which moves the specification of a call that may not be repeated offers.
 *
 * @module
 */
import { getInstance } from "./claim_log.ts";
import type {
  ClaimLimits,
  ClaimMove,
  ClaimState,
  SpecAttempt,
} from "./claim_state.ts";
import type { ClaimSteps } from "./claim_steps.ts";

/** Sizes and the steps that tell what a mutant allows. */
export interface MoveOptions extends ClaimLimits {
  readonly steps: ClaimSteps;
}

/**
 * Finds every move that may come next.
 *
 * @param state The state.
 * @param options Sizes of the exploration.
 * @returns Moves in a fixed order.
 */
export function findClaimMoves(
  state: ClaimState,
  options: MoveOptions,
): ClaimMove[] {
  const moves = state.attempts.flatMap((own, attempt) => [
    ...findEntryMoves(state, { own, attempt, options }),
    ...findLogMoves(state, { own, attempt, options }),
  ]);
  return [...moves, ...findWorldMoves(state, options)];
}

interface AttemptPlace {
  readonly own: SpecAttempt;
  readonly attempt: number;
  readonly options: MoveOptions;
}

function findEntryMoves(
  state: ClaimState,
  { own, attempt, options }: AttemptPlace,
): ClaimMove[] {
  if (own.isCrashed) return [];
  const { kind } = own.state;
  const moves = findEndings(own, attempt);
  if (kind === "claiming" || kind === "abandoned") {
    moves.push({ kind: "verdict", attempt, reader: "old" });
    if (state.first > 0) {
      moves.push({ kind: "verdict", attempt, reader: "new" });
    }
  }
  if (kind === "claiming") {
    // Giving up while claiming does what this verdict does.
    moves.push({ kind: "verdict", attempt, reader: "none" });
    if (state.copiesLeft > 0) moves.push({ kind: "copy", attempt });
  }
  if (kind === "won" && own.sends.length < options.maxDispatches) {
    moves.push(...findDispatches(attempt));
  }
  if (kind === "won" || kind === "dispatched") {
    moves.push({ kind: "give_up", attempt });
  }
  return moves;
}

function findDispatches(attempt: number): ClaimMove[] {
  const dispatch = { kind: "dispatch", attempt } as const;
  return [
    { ...dispatch, isLate: false, fate: "ran" },
    { ...dispatch, isLate: false, fate: "dead" },
    { ...dispatch, isLate: true, fate: "ran" },
  ];
}

/** What the entry may hear of its sends, also late and twice. */
function findEndings(own: SpecAttempt, attempt: number): ClaimMove[] {
  return own.sends.flatMap((fate, index): ClaimMove[] => {
    const ending = { kind: "ending", attempt, dispatch: index + 1 } as const;
    const broken = { ...ending, ending: "broken" } as const;
    if (fate === "ran") return [{ ...ending, ending: "answered" }, broken];
    return [
      { ...ending, ending: "not_sent" },
      { ...ending, ending: "refused" },
      broken,
    ];
  });
}

function findLogMoves(
  state: ClaimState,
  { own, attempt, options }: AttemptPlace,
): ClaimMove[] {
  if (state.log.length >= options.maxLog) return [];
  const moves = [...new Set(own.inFlight)].map((record): ClaimMove => ({
    kind: "land",
    attempt,
    record,
  }));
  const isTakenOver = options.steps.mayTakeOver && own.isCrashed;
  return isTakenOver ? [...moves, { kind: "take_over", attempt }] : moves;
}

function findWorldMoves(
  state: ClaimState,
  options: MoveOptions,
): ClaimMove[] {
  const alive = state.attempts.flatMap((own, attempt) =>
    own.isCrashed || isEnded(own) ? [] : [getInstance(attempt)]
  );
  const moves = [...new Set(alive)].map((instance): ClaimMove => ({
    kind: "crash",
    instance,
  }));
  if (options.hasTime && state.clock === 0) moves.push({ kind: "clock" });
  if (state.clock === 1 && state.first < state.log.length) {
    moves.push({ kind: "trim" });
  }
  return moves;
}

/** A crash changes nothing for an attempt that has ended. */
function isEnded({ state }: SpecAttempt): boolean {
  return state.kind === "done" && state.outcome === "completed";
}
