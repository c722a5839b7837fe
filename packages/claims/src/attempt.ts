/**
 * The claimant's side of a call that may not be repeated: one attempt of one
 * entry, from its claim to its end.
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
  AttemptStep,
  AttemptVerdict,
} from "./attempt_state.ts";
import { match, P } from "ts-pattern";

/**
 * Opens an attempt: its claim is to be appended.
 *
 * @param facts What the attempt is about.
 * @returns The first state and the claim.
 * @example
 * ```ts
 * const { state, actions } = openAttempt(facts);
 * ```
 */
export function openAttempt(facts: AttemptFacts): AttemptStep {
  const { id, keyId, fingerprint } = facts;
  const record = { kind: "claim", id, keyId, fingerprint } as const;
  return {
    state: { kind: "claiming", facts },
    actions: [{ kind: "append_claim", record }],
  };
}

/**
 * Decides what an event means for an attempt.
 *
 * Guards, and the failure that each is for:
 * - an abandoned attempt is terminal: a verdict `won` that arrives after its
 *   caller was told "not run" sends nothing;
 * - the deadline is compared with the time of the dispatch event: an entry that
 *   was frozen after it won wakes up late and sends nothing;
 * - a failure counts only for the dispatch that it names: a late "not sent" of
 *   an earlier try would otherwise free a later one that is on its way.
 *
 * Events that do not fit the state change nothing.
 *
 * @param state Where the attempt stands.
 * @param event What has happened.
 * @returns The next state and what is to be done.
 * @example
 * ```ts
 * const step = decideAttempt(state, { kind: "dispatch", now });
 * ```
 */
export function decideAttempt(
  state: AttemptState,
  event: AttemptEvent,
): AttemptStep {
  return match<[AttemptState, AttemptEvent], AttemptStep>([state, event])
    .with(
      [{ kind: "claiming" }, { kind: "verdict" }],
      ([{ facts }, { verdict }]) => applyVerdict(facts, verdict),
    )
    .with(
      [{ kind: "won" }, { kind: "dispatch" }],
      ([won, { now }]) => openDispatch(won, now),
    )
    .with(
      [{ kind: P.union("claiming", "won") }, { kind: "give_up" }],
      ([{ facts }, { reason }]) => closeUnsent(facts, reason),
    )
    .with(
      [{ kind: "dispatched" }, {
        kind: P.union("not_sent", "refused", "answered", "broken"),
      }],
      ([dispatched, ending]) =>
        ending.dispatch === dispatched.dispatch
          ? closeDispatch(dispatched, ending)
          : buildSameStep(dispatched),
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
    // Every other pair is an event that came too late or twice.
    .otherwise(([same]) => buildSameStep(same));
}

/** Whether the attempt has ended, but for a late truth. */
export function isAttemptEnded(state: AttemptState): boolean {
  return state.kind === "done" || state.kind === "abandoned";
}

type WonState = Extract<AttemptState, { kind: "won" }>;
type DispatchedState = Extract<AttemptState, { kind: "dispatched" }>;
type DispatchEnding = Extract<
  AttemptEvent,
  { kind: "not_sent" | "refused" | "answered" | "broken" }
>;

function buildSameStep(state: AttemptState): AttemptStep {
  return { state, actions: [] };
}

function applyVerdict(
  facts: AttemptFacts,
  verdict: AttemptVerdict,
): AttemptStep {
  return match(verdict)
    .with({ kind: "won" }, (): AttemptStep => ({
      state: { kind: "won", facts, notSent: 0 },
      actions: [],
    }))
    .with(
      { kind: P.union("lost", "expired", "unsettled") },
      ({ kind }) => closeUnsent(facts, kind),
    )
    .exhaustive();
}

function openDispatch(won: WonState, now: number): AttemptStep {
  if (now >= won.facts.deadlineAt) return closeUnsent(won.facts, "deadline");
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
 * Ends an attempt that sent nothing. Its claim is released, also when it lost:
 * if the holder releases later, a claim that nobody stands behind would hold
 * the key for good.
 */
function closeUnsent(facts: AttemptFacts, reason: AbandonReason): AttemptStep {
  return {
    state: { kind: "abandoned", facts, reason },
    actions: [
      { kind: "answer", answer: { kind: "not_run", reason } },
      buildRelease(facts),
    ],
  };
}

function closeDispatch(
  state: DispatchedState,
  ending: DispatchEnding,
): AttemptStep {
  const { facts } = state;
  return match(ending)
    .with({ kind: "answered" }, ({ answer }): AttemptStep => ({
      state: { kind: "done", facts, outcome: "completed" },
      actions: [
        ...planAnswer(state, { kind: "completed", answer }),
        buildOutcome(facts, { outcome: "completed", answer }),
      ],
    }))
    .with({ kind: "broken" }, (): AttemptStep => ({
      state: { kind: "done", facts, outcome: "unknown" },
      actions: state.isGivenUp ? [] : [
        { kind: "answer", answer: { kind: "unknown" } },
        buildOutcome(facts, { outcome: "unknown" }),
      ],
    }))
    .with({ kind: "not_sent" }, () => handleNotSent(state))
    .with({ kind: "refused" }, () => closeRefused(state))
    .exhaustive();
}

/** Nothing left this process, so another endpoint may be tried. */
function handleNotSent(state: DispatchedState): AttemptStep {
  const { facts, dispatch } = state;
  if (state.isGivenUp) return closeGivenUp(facts);
  return {
    state: { kind: "won", facts, notSent: dispatch },
    actions: [],
  };
}

function closeRefused(state: DispatchedState): AttemptStep {
  if (state.isGivenUp) return closeGivenUp(state.facts);
  return closeUnsent(state.facts, "refused");
}

/**
 * The caller was told `unknown` and the log may say so too; a release behind
 * that would be ignored, so the key stays unknown.
 */
function closeGivenUp(facts: AttemptFacts): AttemptStep {
  return { state: { kind: "done", facts, outcome: "unknown" }, actions: [] };
}

/** The caller that was told `unknown` is gone; only the log still listens. */
function planAnswer(
  state: DispatchedState,
  answer: AttemptAnswer,
): AttemptAction[] {
  return state.isGivenUp ? [] : [{ kind: "answer", answer }];
}

function buildRelease({ id, keyId }: AttemptFacts): AttemptAction {
  return { kind: "record_later", record: { kind: "release", id, keyId } };
}

/** What an outcome record says. */
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
