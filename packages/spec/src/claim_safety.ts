/**
 * What must hold in every state of the specification of a call that may not be
 * repeated.
 *
 * @module
 */
import type { ClaimState, SpecAttempt } from "./claim_state.ts";
import type { ClaimSteps } from "./claim_steps.ts";

/**
 * Finds what is wrong in a state.
 *
 * @param state The state.
 * @param steps Reads the log.
 * @returns A line for each broken promise.
 */
export function findClaimViolations(
  state: ClaimState,
  steps: ClaimSteps,
): string[] {
  return [
    ...findDoubleRun(state),
    ...state.attempts.flatMap(findUntruth),
    ...findWrongRecord(state),
    ...findWrongStatus(state, steps),
    ...findLostRecord(state, steps),
    ...(state.hasSentLate ? ["a request was sent after its deadline"] : []),
  ];
}

function findDoubleRun({ attempts }: ClaimState): string[] {
  const runs = attempts.flatMap(({ sends }) => sends)
    .filter((fate) => fate === "ran");
  return runs.length > 1 ? [`the request ran ${runs.length} times`] : [];
}

function findUntruth(own: SpecAttempt): string[] {
  if (own.told === "not_run" && hasSent(own)) {
    return ['"not run" was said of what was or may still be sent'];
  }
  if (own.told === "completed" && !own.sends.includes("ran")) {
    return ['"completed" was said of what never ran'];
  }
  return [];
}

function findWrongRecord({ attempts, log }: ClaimState): string[] {
  return log.flatMap(({ kind, attempt }) => {
    const own = attempts[attempt];
    if (kind === "release" && hasSent(own)) {
      return ["a claim was released under which a request may run"];
    }
    const isUntrue = kind === "completed" && !own.sends.includes("ran");
    return isUntrue ? ["the log calls completed what never ran"] : [];
  });
}

/** What a lookup is told of the key by a reader old or new. */
function findWrongStatus(
  { attempts, first, log }: ClaimState,
  steps: ClaimSteps,
): string[] {
  const hasSentAny = attempts.some(hasSent);
  if (!hasSentAny) return [];
  const isFree = [0, first].some((start) =>
    steps.read({ log, first: start }).status === "free"
  );
  return isFree ? ["a key is called free under which a request may run"] : [];
}

/** What the log says for good must be read from it for good. */
function findLostRecord({ log }: ClaimState, steps: ClaimSteps): string[] {
  const view = steps.read({ log, first: 0 });
  const isRevived = log.some(({ kind, attempt }) =>
    kind === "release" && view.judgements[attempt] === "won"
  );
  if (isRevived) return ["a released claim came to life again"];
  const isCompleted = log.some(({ kind }) => kind === "completed");
  if (isCompleted && view.status !== "completed") {
    return ["a recorded answer was lost"];
  }
  return [];
}

function hasSent({ sends }: SpecAttempt): boolean {
  return sends.some((fate) => fate !== "dead");
}
