/**
 * Filter: refuses at the door what could not finish in time.
 *
 * @module
 */
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";
import type { Dispatcher } from "../dispatcher.ts";

/**
 * Creates the filter. It stands before the claim, so that a request that is
 * refused under load costs no append.
 *
 * @param dispatcher Knows the load.
 * @param isLeaving Whether this entry is being stopped.
 * @returns The filter.
 */
export function createCheckAdmission(
  dispatcher: Dispatcher,
  isLeaving: () => boolean,
): Filter {
  return async (context, next) => {
    if (isLeaving()) {
      const message = "This entry is leaving; another one serves";
      return createRefusal("SHUTTING_DOWN", message, { retryAfterMs: 0 });
    }
    const admission = dispatcher.checkAdmission(context);
    if (admission.isOk()) return await next();
    const { code, retryAfterMs } = admission.error;
    const message = `Cannot finish "${context.pipeline.pipelineId}" in time`;
    return createRefusal(code, message, { retryAfterMs });
  };
}
