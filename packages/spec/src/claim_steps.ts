/**
 * What each move of the specification does. Plain switches stand here in place
 * of ts-pattern: an exploration takes these steps a million times.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import {
  DISPATCH_TIMES,
  getInstance,
  type LogSpan,
  type LogView,
  readClaims,
  type SpecRecord,
} from "./claim_log.ts";
import {
  FOLD_MECHANISM,
  type FoldMechanism,
  readClaimsByMirror,
} from "./claim_log_mirror.ts";
import { decideMutant } from "./claim_mutants.ts";
import {
  ATTEMPT_MECHANISM,
  type ClaimMechanism,
  type ClaimMove,
  type ClaimState,
  type Fate,
  type SpecAttempt,
} from "./claim_state.ts";

/** Moves that the attempt's own state machine decides on. */
type DecidedMove = Extract<
  ClaimMove,
  { kind: "verdict" | "dispatch" | "give_up" | "ending" }
>;

/** What is needed to carry out an attempt's actions. */
interface StepOptions {
  readonly attempt: number;
  readonly hasOutcomes: boolean;
  /** What will become of a send. */
  readonly fate: Fate;
  readonly isLate: boolean;
}

/** Carries moves out; reads of the same log are computed once. */
export class ClaimSteps {
  readonly #without: ClaimMechanism | undefined;
  readonly #hasOutcomes: boolean;
  readonly #foldMutant: FoldMechanism | undefined;
  readonly #views = new Map<string, LogView>();

  constructor(
    options: { readonly without?: ClaimMechanism; hasOutcomes: boolean },
  ) {
    this.#without = options.without;
    this.#hasOutcomes = options.hasOutcomes;
    this.#foldMutant = Object.values(FOLD_MECHANISM)
      .find((mechanism) => mechanism === options.without);
  }

  /** Whether an entry that is gone may be taken over; only in one mutant. */
  get mayTakeOver(): boolean {
    return this.#without === ATTEMPT_MECHANISM.noTakeOver;
  }

  /** What a reader makes of the log from an offset on. */
  read({ log, first }: LogSpan): LogView {
    const name = `${first}:${formatLog(log)}`;
    const known = this.#views.get(name);
    if (known) return known;
    const view = this.#foldMutant
      ? readClaimsByMirror({ log, first }, this.#foldMutant)
      : readClaims({ log, first });
    this.#views.set(name, view);
    return view;
  }

  /** Carries out a move. */
  apply(state: ClaimState, move: ClaimMove): ClaimState {
    switch (move.kind) {
      case "copy":
        return {
          ...addInFlight(state, { attempt: move.attempt, kind: "claim" }),
          copiesLeft: state.copiesLeft - 1,
        };
      case "take_over":
        return appendRecord(state, { attempt: move.attempt, kind: "release" });
      case "land":
        return applyLanding(state, { ...move, kind: move.record });
      case "crash":
        return applyCrash(state, move.instance);
      case "clock":
        return { ...state, clock: 1 };
      case "trim":
        return { ...state, first: state.first + 1 };
      case "verdict":
      case "dispatch":
      case "give_up":
      case "ending":
        return this.#decide(state, move);
    }
  }

  #decide(state: ClaimState, move: DecidedMove): ClaimState {
    const { attempt } = move;
    const event = this.#buildEvent(state, move);
    if (!event) return state;
    const old = state.attempts[attempt].state;
    const step = decideMutant(old, event, { without: this.#without });
    const moved = updateAttempt(state, attempt, (own) => ({
      ...own,
      state: step.state,
    }));
    const isDispatch = move.kind === "dispatch";
    const options = {
      attempt,
      hasOutcomes: this.#hasOutcomes,
      fate: isDispatch ? move.fate : "ran",
      isLate: isDispatch && move.isLate,
    } as const;
    return step.actions.reduce(
      (next, action) => applyAction(next, action, options),
      moved,
    );
  }

  #buildEvent(
    state: ClaimState,
    move: DecidedMove,
  ): claims.AttemptEvent | undefined {
    switch (move.kind) {
      case "verdict":
        return this.#buildVerdict(state, move);
      case "dispatch": {
        const { inTime, late } = DISPATCH_TIMES;
        return { kind: "dispatch", now: move.isLate ? late : inTime };
      }
      case "give_up":
        return { kind: "give_up", reason: "cancelled" };
      case "ending":
        return buildEnding(move);
    }
  }

  #buildVerdict(
    state: ClaimState,
    { attempt, reader }: Extract<ClaimMove, { kind: "verdict" }>,
  ): claims.AttemptEvent | undefined {
    if (reader === "none") {
      const verdict = { kind: "unsettled", retryAfterMs: 1 } as const;
      return { kind: "verdict", verdict };
    }
    const first = reader === "old" ? 0 : state.first;
    const judgement = this.read({ log: state.log, first }).judgements[attempt];
    if (judgement === "won" || judgement === "expired") {
      return { kind: "verdict", verdict: { kind: judgement } };
    }
    if (judgement !== "lost") return undefined;
    const status = { kind: "free" } as const;
    return { kind: "verdict", verdict: { kind: "lost", status } };
  }
}

/**
 * Formats a log as short text.
 *
 * @param log Its records.
 * @returns Text that is the same for the same log only.
 */
export function formatLog(log: readonly SpecRecord[]): string {
  return log.map(({ kind, attempt, clock }) => `${kind}${attempt}${clock}`)
    .join();
}

function buildEnding(
  { dispatch, ending }: Extract<ClaimMove, { kind: "ending" }>,
): claims.AttemptEvent {
  if (ending === "answered") {
    return { kind: "answered", dispatch, answer: "answer" };
  }
  return { kind: ending, dispatch };
}

function applyAction(
  state: ClaimState,
  action: claims.AttemptAction,
  options: StepOptions,
): ClaimState {
  const { attempt } = options;
  switch (action.kind) {
    case "append_claim":
      return addInFlight(state, { attempt, kind: "claim" });
    case "record_later":
      return applyRecordLater(state, action.record, options);
    case "answer":
      return updateAttempt(state, attempt, (own) => ({
        ...own,
        told: action.answer.kind,
      }));
    case "send":
      return {
        ...updateAttempt(state, attempt, (own) => ({
          ...own,
          sends: [...own.sends, options.fate],
        })),
        hasSentLate: state.hasSentLate || options.isLate,
      };
  }
}

function applyRecordLater(
  state: ClaimState,
  record: claims.ClaimRecord,
  { attempt, hasOutcomes }: StepOptions,
): ClaimState {
  if (record.kind !== "outcome") {
    return addInFlight(state, { attempt, kind: record.kind });
  }
  if (!hasOutcomes) return state;
  return addInFlight(state, { attempt, kind: record.outcome });
}

/** A record on its way, by its attempt. */
type OnTheWay = Pick<SpecRecord, "kind" | "attempt">;

function addInFlight(state: ClaimState, record: OnTheWay): ClaimState {
  return updateAttempt(state, record.attempt, (own) => ({
    ...own,
    inFlight: [...own.inFlight, record.kind].sort(),
  }));
}

function applyLanding(state: ClaimState, record: OnTheWay): ClaimState {
  const left = updateAttempt(state, record.attempt, (own) => ({
    ...own,
    inFlight: own.inFlight.toSpliced(own.inFlight.indexOf(record.kind), 1),
  }));
  return appendRecord(left, record);
}

function appendRecord(
  state: ClaimState,
  { attempt, kind }: OnTheWay,
): ClaimState {
  const log = [...state.log, { kind, attempt, clock: state.clock }];
  return { ...state, log };
}

/** The memory of an entry is gone; what it handed to the log may still land. */
function applyCrash(state: ClaimState, instance: string): ClaimState {
  const attempts = state.attempts.map((own, attempt): SpecAttempt =>
    getInstance(attempt) === instance ? { ...own, isCrashed: true } : own
  );
  return { ...state, attempts };
}

function updateAttempt(
  state: ClaimState,
  attempt: number,
  update: (own: SpecAttempt) => SpecAttempt,
): ClaimState {
  const changed = update(state.attempts[attempt]);
  return { ...state, attempts: state.attempts.with(attempt, changed) };
}
