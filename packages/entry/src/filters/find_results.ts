/**
 * Filter that reuses the stage results of an earlier attempt.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId, StageResult } from "@sardinestep/types";
import { createReplay, type RequestAnswer } from "../answer.ts";
import type { Filter, RequestContext } from "../context.ts";

/** The earlier attempt accounted for the stages; this one costs nothing. */
/** Dependencies of the filter. */
export interface FindResultsOptions {
  /** Finds the results kept under the key of a request, and the entry that runs it. */
  readonly findAll: (context: RequestContext) => Promise<rpc.FoundResults>;
  /** Reports that this entry no longer runs the request. */
  readonly endRun: (context: RequestContext) => void;
  /** Waits for the answer of another entry that runs the same request. */
  readonly waitForRunner: (
    context: RequestContext,
    runner: InstanceId,
  ) => Promise<RequestAnswer | undefined>;
}

/**
 * Creates the filter. It resumes a request after the stages that an earlier
 * attempt finished, so that a crash of an entry causes no second run of a billable
 * stage, and it waits for an attempt that is running at another entry.
 *
 * @param options Lookup of kept results and running attempts.
 * @returns The filter.
 */
export function createFindResults(options: FindResultsOptions): Filter {
  return async (context, next) => {
    if (!context.keyId) return await next();
    const found = await options.findAll(context);
    const prior = pickPriorResults(found.results, context);
    const last = prior[context.pipeline.stages.length - 1];
    if (last) return createReplay(last.output);
    // The attempt that holds the claim of an at-most-once request never waits.
    const mayWait = found.runningAt !== undefined && !context.isAtMostOnce;
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

/** Returns the results from stage 0 up to the first gap; later stages run again. */
function pickPriorResults(
  kept: readonly StageResult[],
  context: RequestContext,
): readonly StageResult[] {
  const prior: StageResult[] = [];
  for (const [stage, spec] of context.pipeline.stages.entries()) {
    const result = kept.find((candidate) =>
      candidate.stage === stage && candidate.stageName === spec.name
    );
    if (!result) return prior;
    prior.push(result);
  }
  return prior;
}
