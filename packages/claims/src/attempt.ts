/**
 * State machine of the claimant: one entry's attempt at a non-repeatable call,
 * from its claim to its end.
 *
 * @module
 */
import type {
  AbandonReason,
  AttemptAction,
  AttemptAnswer,
  AttemptEvent,
  AttemptFacts,
  AttemptState,
  AttemptTransition,
  AttemptVerdict,
} from "./attempt_state.ts";
import { match, P } from "ts-pattern";

/**
 * Starts an attempt by appending its claim.
 *
 * @param facts Identity and deadline of the attempt.
 * @returns The initial state and the action that appends the claim.
 * @example
 * ```ts
 * const { state, actions } = openAttempt(facts);
 * ```
 */
export function openAttempt(facts: AttemptFacts): AttemptTransition {
  const { id, keyId, fingerprint } = facts;
  const record = { kind: "claim", id, keyId, fingerprint } as const;
  return {
    state: { kind: "claiming", facts },
    actions: [{ kind: "append_claim", record }],
  };
}

/**
 * Applies an event to an attempt.
 *
 * Guards, and the failure that each prevents:
 * - `abandoned` is terminal, so a verdict `won` that arrives after the caller was
 *   answered "not run" sends nothing;
 * - the deadline is compared with the time of the dispatch event, so an entry
 *   that was paused after winning and resumes too late sends nothing;
 * - a failure applies only to the dispatch that it names: a late `not_sent` of an
 *   earlier dispatch would otherwise permit a resend while a later one is in
 *   flight.
 *
 * Events that don't apply to the state are ignored.
 *
 * @param state The attempt's state.
 * @param event The event.
 * @returns The next state and the actions to perform.
 * @example
 * ```ts
 * const transition = applyAttemptEvent(state, { kind: "dispatch", now });
 * ```
 */
export function applyAttemptEvent(
  state: AttemptState,
  event: AttemptEvent,
): AttemptTransition {
  return match<[AttemptState, AttemptEvent], AttemptTransition>([state, event])
    .with(
      [{ kind: "claiming" }, { kind: "verdict" }],
      ([{ facts }, { verdict }]) => applyVerdict(facts, verdict),
    )
    .with(
      [{ kind: "won" }, { kind: "dispatch" }],
      ([won, { now }]) => startDispatch(won, now),
    )
    .with(
      [{ kind: P.union("claiming", "won") }, { kind: "give_up" }],
      ([{ facts }, { reason }]) => abandonAttempt(facts, reason),
    )
    .with(
      [{ kind: "dispatched" }, {
        kind: P.union("not_sent", "refused", "answered", "broken"),
      }],
      ([dispatched, endEvent]) =>
        endEvent.dispatch === dispatched.dispatch
          ? finishDispatch(dispatched, endEvent)
          : keepState(dispatched),
    )
    .with(
      [{ kind: "dispatched", isGivenUp: false }, { kind: "give_up" }],
      ([dispatched]) => ({
        state: { ...dispatched, isGivenUp: true },
        actions: [
          { kind: "answer", answer: { kind: "unknown" } },
          buildOutcome(dispatched.facts, { outcome: "unknown" }),
        ],
      }),
    )
    // All other events are late or duplicate.
    .otherwise(([unchanged]) => keepState(unchanged));
}

/** Whether the attempt has ended. */
export function isAttemptEnded(state: AttemptState): boolean {
  return state.kind === "done" || state.kind === "abandoned";
}

type WonState = Extract<AttemptState, { kind: "won" }>;
type DispatchedState = Extract<AttemptState, { kind: "dispatched" }>;
type DispatchEndEvent = Extract<
  AttemptEvent,
  { kind: "not_sent" | "refused" | "answered" | "broken" }
>;

function keepState(state: AttemptState): AttemptTransition {
  return { state, actions: [] };
}

function applyVerdict(
  facts: AttemptFacts,
  verdict: AttemptVerdict,
): AttemptTransition {
  return match(verdict)
    .with({ kind: "won" }, (): AttemptTransition => ({
      state: { kind: "won", facts, notSent: 0 },
      actions: [],
    }))
    .with(
      { kind: P.union("lost", "expired", "unsettled") },
      ({ kind }) => abandonAttempt(facts, kind),
    )
    .exhaustive();
}

function startDispatch(won: WonState, now: number): AttemptTransition {
  if (now >= won.facts.deadlineAt) return abandonAttempt(won.facts, "deadline");
  const dispatch = won.notSent + 1;
  return {
    state: {
      kind: "dispatched",
      facts: won.facts,
      dispatch,
      isGivenUp: false,
    },
    actions: [{ kind: "send", dispatch }],
  };
}

/**
 * Ends an attempt whose request did not run. Its claim is released even if it
 * lost: if the holder released later, the abandoned claim would hold the key
 * permanently.
 */
function abandonAttempt(
  facts: AttemptFacts,
  reason: AbandonReason,
): AttemptTransition {
  return {
    state: { kind: "abandoned", facts, reason },
    actions: [
      { kind: "answer", answer: { kind: "not_run", reason } },
      buildRelease(facts),
    ],
  };
}

function finishDispatch(
  state: DispatchedState,
  endEvent: DispatchEndEvent,
): AttemptTransition {
  const { facts } = state;
  return match(endEvent)
    .with({ kind: "answered" }, ({ answer }): AttemptTransition => ({
      state: { kind: "done", facts, outcome: "completed" },
      actions: [
        ...buildAnswerActions(state, { kind: "completed", answer }),
        buildOutcome(facts, { outcome: "completed", answer }),
      ],
    }))
    .with({ kind: "broken" }, (): AttemptTransition => ({
      state: { kind: "done", facts, outcome: "unknown" },
      actions: state.isGivenUp ? [] : [
        { kind: "answer", answer: { kind: "unknown" } },
        buildOutcome(facts, { outcome: "unknown" }),
      ],
    }))
    .with({ kind: "not_sent" }, () => handleNotSent(state))
    .with({ kind: "refused" }, () => handleRefused(state))
    .exhaustive();
}

/** No byte of the request was sent, so another endpoint may be tried. */
function handleNotSent(state: DispatchedState): AttemptTransition {
  const { facts, dispatch } = state;
  if (state.isGivenUp) return finishGivenUp(facts);
  return {
    state: { kind: "won", facts, notSent: dispatch },
    actions: [],
  };
}

function handleRefused(state: DispatchedState): AttemptTransition {
  if (state.isGivenUp) return finishGivenUp(state.facts);
  return abandonAttempt(state.facts, "refused");
}

/**
 * The caller was answered `unknown`, and the log may contain that outcome. A
 * release after it would be ignored, so the key stays `unknown`.
 */
function finishGivenUp(facts: AttemptFacts): AttemptTransition {
  return { state: { kind: "done", facts, outcome: "unknown" }, actions: [] };
}

/** After `unknown` the caller is gone; a later outcome goes only to the log. */
function buildAnswerActions(
  state: DispatchedState,
  answer: AttemptAnswer,
): AttemptAction[] {
  return state.isGivenUp ? [] : [{ kind: "answer", answer }];
}

function buildRelease({ id, keyId }: AttemptFacts): AttemptAction {
  return { kind: "record_later", record: { kind: "release", id, keyId } };
}

/** The outcome fields of an outcome record. */
interface OutcomeParts {
  readonly outcome: "completed" | "unknown";
  readonly answer?: unknown;
}

function buildOutcome(
  { id, keyId }: AttemptFacts,
  parts: OutcomeParts,
): AttemptAction {
  return {
    kind: "record_later",
    record: { kind: "outcome", id, keyId, ...parts },
  };
}
