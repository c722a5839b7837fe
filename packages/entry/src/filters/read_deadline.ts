/**
 * Filter: by when the caller needs the answer.
 *
 * @module
 */
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";

/** Longest deadline; a longer one would only keep memory in use. */
const MAX_DEADLINE_MS = 600_000;
const DIGITS = /^-?\d{1,9}$/;

/** Sets `deadlineAt`. Refuses a deadline that has passed: nothing has run. */
export const readDeadline: Filter = async (context, next) => {
  const text = context.incoming.deadlineMs;
  if (text !== undefined && !DIGITS.test(text)) {
    const message =
      `Cannot read X-Deadline-Ms "${text}": expected whole milliseconds`;
    return createRefusal("INVALID_REQUEST", message);
  }
  const wanted = text === undefined
    ? context.pipeline.defaultDeadlineMs
    : Number(text);
  if (wanted <= 0) {
    return createRefusal(
      "DEADLINE_PASSED",
      `The deadline of ${wanted} ms has passed`,
    );
  }
  const inMs = Math.min(wanted, MAX_DEADLINE_MS);
  context.deadlineAt = context.incoming.arrivedAt + inMs;
  return await next();
};
