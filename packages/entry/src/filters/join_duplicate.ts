/**
 * Filter: a repeat of a request that this entry knows.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import { match } from "ts-pattern";
import type { RequestAnswer } from "../answer.ts";
import type { Filter, RequestContext } from "../context.ts";
import {
  type KeyRegistry,
  type KeyRelation,
  waitAtMost,
} from "../key_registry.ts";
import { refuseReuse, refuseRunning, refuseUnknown } from "../key_refusals.ts";

/**
 * Creates the filter.
 *
 * @param registry What this entry did under callers' keys.
 * @param readNow Monotonic milliseconds.
 * @returns A filter that answers a repeat with the answer of the first.
 */
export function createJoinDuplicate(
  registry: KeyRegistry,
  readNow: () => number,
): Filter {
  const joinDuplicate: Filter = async (context, next) => {
    const { keyId, fingerprint } = context;
    if (!keyId) return await next();
    const relation = registry.getRelation(keyId, fingerprint);
    if (relation.kind === "new" || mayGoOn(relation, context)) {
      const answer = next();
      registry.track(keyId, fingerprint, answer);
      const final = await answer;
      if (isProvedUnsent(context)) registry.dropUnknown(keyId);
      return final;
    }
    const answer = await answerRepeat(relation, context, readNow());
    return isCancelled(answer) ? await joinDuplicate(context, next) : answer;
  };
  return joinDuplicate;
}

/**
 * Guards against a ticket that stays unknown for an earlier stage's sake: the
 * attempt has ended, and its one call was not sent and never will be.
 */
function isProvedUnsent({ claimant }: RequestContext): boolean {
  return claimant !== undefined && !claimant.mayHaveRun;
}

/**
 * Tells whether a repeat goes on behind an attempt whose outcome is unknown.
 *
 * Guards against a note "unknown" that keeps a repeat from what others know
 * better: a request that may be repeated resumes behind its kept stages, and the
 * mint knows whether a call under its key has completed since.
 */
function mayGoOn(relation: KeyRelation, context: RequestContext): boolean {
  if (relation.kind !== "unknown") return false;
  if (!context.isSingle) return true;
  const parsed = claims.parseKey(context.keyId?.key ?? "");
  return parsed.isOk() && parsed.value.kind === "minted";
}

/**
 * Guards against a repeat that ends with its first attempt, whose caller has gone:
 * a caller whose connection broke repeats before its entry has noticed.
 */
function isCancelled(answer: RequestAnswer): boolean {
  return answer.kind === "refused" && answer.failure.code === "PORT_CANCELLED";
}

function answerRepeat(
  relation: Exclude<KeyRelation, { kind: "new" }>,
  context: RequestContext,
  now: number,
): Promise<RequestAnswer> | RequestAnswer {
  return match(relation)
    .with({ kind: "reused" }, () => refuseReuse(context))
    .with(
      { kind: "completed" },
      ({ answer }) => ({ ...answer, isReplayed: true }),
    )
    .with({ kind: "unknown" }, () => refuseUnknown(context))
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
  const answer = await waitAtMost(running, waitMs);
  if (!answer) return refuseRunning();
  return answer.kind === "completed" ? { ...answer, isReplayed: true } : answer;
}
