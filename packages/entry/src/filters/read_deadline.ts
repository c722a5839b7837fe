/**
 * Filter that reads the deadline of a request.
 *
 * @module
 */
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";

/** Maximum deadline; a longer one would only hold memory. */
const MAX_DEADLINE_MS = 600_000;
const DIGITS = /^-?\d{1,9}$/;

/** Sets `deadlineAt`. Refuses a deadline that has already passed. */
export const readDeadline: Filter = async (context, next) => {
  const text = context.incoming.deadlineMs;
  if (text !== undefined && !DIGITS.test(text)) {
    const message =
      `Invalid X-Deadline-Ms "${text}": expected whole milliseconds`;
    return createRefusal("INVALID_REQUEST", message);
  }
  const deadlineMs = text === undefined
    ? context.pipeline.defaultDeadlineMs
    : Number(text);
  if (deadlineMs <= 0) {
    return createRefusal(
      "DEADLINE_PASSED",
      `Deadline of ${deadlineMs} ms has already passed`,
    );
  }
  const cappedMs = Math.min(deadlineMs, MAX_DEADLINE_MS);
  context.deadlineAt = context.incoming.arrivedAt + cappedMs;
  return await next();
};
