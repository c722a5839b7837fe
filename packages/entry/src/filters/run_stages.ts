/**
 * The last filter, which runs the stages of the pipeline.
 *
 * @module
 */
import type { Filter } from "../context.ts";
import type { Dispatcher } from "../dispatcher.ts";

/**
 * Creates the filter.
 *
 * @param dispatcher Dispatches the stages to endpoints.
 * @returns The filter; it never calls `next`.
 */
export function createRunStages(dispatcher: Dispatcher): Filter {
  return (context) => dispatcher.run(context);
}
