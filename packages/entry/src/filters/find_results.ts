/**
 * Filter: stage results that an earlier attempt has left.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId, StageResult } from "@sardinestep/types";
import { createCompletion, type RequestAnswer } from "../answer.ts";
import type { Filter, RequestContext } from "../context.ts";

/** The earlier attempt has paid for the stages; this one costs nothing. */
const NO_COST = { calls: 0, tokens: 0, workerMs: 0 } as const;

/** What the filter works with. */
export interface FindResultsOptions {
  /** Finds what is kept under the key of a request, and who runs it. */
  readonly findAll: (context: RequestContext) => Promise<rpc.FoundResults>;
  /** Tells that this entry runs the request no longer. */
  readonly endRun: (context: RequestContext) => void;
  /** Waits for the answer of the entry that runs the same request. */
  readonly waitForRunner: (
    context: RequestContext,
    runner: InstanceId,
  ) => Promise<RequestAnswer | undefined>;
}

/**
 * Creates the filter. It resumes a request behind the stages that finished in
 * an earlier attempt, so that no billable stage runs again because an entry
 * died, and it waits for an attempt that another entry runs at this moment.
 *
 * @param options Asks the entries that keep results of this key.
 * @returns The filter.
 */
export function createFindResults(options: FindResultsOptions): Filter {
  return async (context, next) => {
    if (!context.keyId) return await next();
    const found = await options.findAll(context);
    const prior = pickPrior(found.results, context);
    const last = prior[context.pipeline.stages.length - 1];
    if (last) return createCompletion(last.output, { ...NO_COST }, true);
    // The one attempt that holds a claim waits for nobody.
    const mayWait = found.runningAt !== undefined && !context.isSingle;
    const answer = mayWait && found.runningAt
      ? await options.waitForRunner(context, found.runningAt)
      : undefined;
    if (answer) return answer;
    context.priorResults = prior;
    try {
      return await next();
    } finally {
      options.endRun(context);
    }
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
