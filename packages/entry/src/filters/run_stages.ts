/**
 * Filter: the last one, which runs the stages.
 *
 * @module
 */
import type { Filter } from "../context.ts";
import type { Dispatcher } from "../dispatcher.ts";

/**
 * Creates the filter.
 *
 * @param dispatcher Runs the stages as the decisions say.
 * @returns The filter; it calls no next one.
 */
export function createRunStages(dispatcher: Dispatcher): Filter {
  return (context) => dispatcher.run(context);
}
