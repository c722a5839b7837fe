/**
 * Filter that refuses requests that can't finish in time.
 *
 * @module
 */
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";
import type { Dispatcher } from "../dispatcher.ts";

/**
 * Creates the filter. It runs before the claim, so that a request refused under
 * load costs no append to the log.
 *
 * @param dispatcher Checks admission against the current load.
 * @param mayServe Whether this entry runs until a deadline (monotonic milliseconds)
 *   and takes requests; without the deadline, its exit would cut long ones off.
 * @returns The filter.
 */
export function createCheckAdmission(
  dispatcher: Dispatcher,
  mayServe: (deadlineAt: number) => boolean,
): Filter {
  return async (context, next) => {
    if (!mayServe(context.deadlineAt)) {
      const message = "Entry is shutting down; retry at another entry";
      return createRefusal("SHUTTING_DOWN", message, { retryAfterMs: 0 });
    }
    const admission = dispatcher.checkAdmission(context);
    if (admission.isOk()) return await next();
    const { code, retryAfterMs } = admission.error;
    const message =
      `Cannot finish pipeline "${context.pipeline.pipelineId}" before the deadline`;
    return createRefusal(code, message, { retryAfterMs });
  };
}
