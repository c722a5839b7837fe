/**
 * Filter: stage results that an earlier attempt has left.
 *
 * @module
 */
import type { StageResult } from "@sardinestep/types";
import { createCompletion } from "../answer.ts";
import type { Filter, RequestContext } from "../context.ts";

/** The earlier attempt has paid for the stages; this one costs nothing. */
const NO_COST = { calls: 0, tokens: 0, workerMs: 0 } as const;

/** Finds what is kept under the key of a request. */
export type FindResults = (
  context: RequestContext,
) => Promise<readonly StageResult[]>;

/**
 * Creates the filter. It resumes a request behind the stages that finished in
 * an earlier attempt, so that no billable stage runs again because an entry died.
 *
 * @param findResults Asks the entries that keep results of this key.
 * @returns The filter.
 */
export function createFindResults(findResults: FindResults): Filter {
  return async (context, next) => {
    if (!context.keyId) return await next();
    const kept = await findResults(context);
    const prior = pickPrior(kept, context);
    const last = prior[context.pipeline.stages.length - 1];
    if (last) {
      return createCompletion(last.output, { ...NO_COST }, true);
    }
    context.priorResults = prior;
    return await next();
  };
}

/** Results from stage 0 on without a gap; a gap must be run again. */
function pickPrior(
  kept: readonly StageResult[],
  context: RequestContext,
): readonly StageResult[] {
  const prior: StageResult[] = [];
  for (const [stage, spec] of context.pipeline.stages.entries()) {
    const held = kept.find((result) =>
      result.stage === stage && result.stageName === spec.name
    );
    if (!held) return prior;
    prior.push(held);
  }
  return prior;
}
