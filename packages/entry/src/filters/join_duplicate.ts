/**
 * Filter that joins a retry with an earlier attempt at this entry.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import { match } from "ts-pattern";
import { createRefusal, createReplay, type RequestAnswer } from "../answer.ts";
import type { Filter, RequestContext } from "../context.ts";
import {
  type KeyRegistry,
  type KeyUsage,
  waitWithTimeout,
} from "../key_registry.ts";
import {
  refuseOutcomeUnknown,
  refuseReuse,
  refuseRunning,
} from "../key_refusals.ts";

/**
 * Creates the filter.
 *
 * @param registry Attempts and answers of this entry by key.
 * @param readNow Returns monotonic milliseconds.
 * @returns A filter that answers a retry with the answer of the first attempt.
 */
export function createJoinDuplicate(
  registry: KeyRegistry,
  readNow: () => number,
): Filter {
  const joinDuplicate: Filter = async (context, next) => {
    const { keyId, fingerprint } = context;
    if (!keyId) return await next();
    const usage = registry.getUsage(keyId, fingerprint);
    if (usage.kind === "new" || mayRunAgain(usage, context)) {
      const answer = next();
      const result = waitForResult(context, answer);
      registry.recordAttempt(keyId, fingerprint, result);
      const finalAnswer = await answer;
      // The caller doesn't wait for a call that outlasts its deadline.
      if (!context.claimant?.isCallRunning) await result;
      if (isProvedNotSent(context)) registry.dropUnknown(keyId);
      return finalAnswer;
    }
    const answer = await answerRetry(usage, context, readNow());
    return isCancelled(answer) ? await joinDuplicate(context, next) : answer;
  };
  return joinDuplicate;
}

/**
 * Waits for the answer of an attempt or, if its call outlasts its deadline, for the
 * result of that call.
 *
 * Guards against retries that get the final answer "unknown" while the call runs:
 * they would never fetch the result that it is about to have.
 */
async function waitForResult(
  context: RequestContext,
  answer: Promise<RequestAnswer>,
): Promise<RequestAnswer> {
  const firstAnswer = await answer;
  const { claimant } = context;
  const hasResult = firstAnswer.kind === "completed";
  if (hasResult || !claimant?.isCallRunning) return firstAnswer;
  const end = await claimant.waitForCallEnd();
  return match(end)
    .with(
      { kind: "completed" },
      ({ answer }) => createReplay(answer),
    )
    .with(
      { kind: "unknown" },
      () =>
        createRefusal("OUTCOME_UNKNOWN", "The call ended without an answer"),
    )
    .exhaustive();
}

/**
 * Whether the at-most-once call was not sent and never will be. Without this check
 * the key would stay "unknown" only because an earlier stage has run.
 */
function isProvedNotSent({ claimant }: RequestContext): boolean {
  return claimant !== undefined && !claimant.mayHaveRun;
}

/**
 * Whether a retry runs after an attempt whose outcome is unknown.
 *
 * The recorded "unknown" must not hide better information: a repeatable request
 * resumes after its kept stages, and the mint knows whether a call under its key
 * has completed since.
 */
function mayRunAgain(usage: KeyUsage, context: RequestContext): boolean {
  if (usage.kind !== "unknown") return false;
  if (!context.isAtMostOnce) return true;
  const parsed = claims.parseKey(context.keyId?.key ?? "");
  return parsed.isOk() && parsed.value.kind === "minted";
}

/**
 * Whether the joined attempt was cancelled. A caller whose connection broke may
 * retry before the entry notices; the retry must then run on its own.
 */
function isCancelled(answer: RequestAnswer): boolean {
  return answer.kind === "refused" && answer.failure.code === "PORT_CANCELLED";
}

function answerRetry(
  usage: Exclude<KeyUsage, { kind: "new" }>,
  context: RequestContext,
  now: number,
): Promise<RequestAnswer> | RequestAnswer {
  return match(usage)
    .with({ kind: "reused" }, () => refuseReuse(context))
    .with(
      { kind: "completed" },
      ({ answer }) => ({ ...answer, isReplayed: true }),
    )
    .with({ kind: "unknown" }, () => refuseOutcomeUnknown(context))
    .with(
      { kind: "running" },
      ({ answer }) => joinRunning(answer, context.deadlineAt - now),
    )
    .exhaustive();
}

async function joinRunning(
  running: Promise<RequestAnswer>,
  waitMs: number,
): Promise<RequestAnswer> {
  const answer = await waitWithTimeout(running, waitMs);
  if (!answer) return refuseRunning();
  return answer.kind === "completed" ? { ...answer, isReplayed: true } : answer;
}
