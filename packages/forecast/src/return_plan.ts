/**
 * Times at which refused callers return.
 *
 * @module
 */
import murmurhash from "murmurhash";

/** Input of {@link planReturn}; all times are in milliseconds. */
export interface ReturnInput {
  readonly requestId: string;
  /** Time until the queues leave room for such a request. */
  readonly roomMs: number;
  /** Time until everything that is queued now is served. */
  readonly drainMs: number;
  /** Time that the request takes once it is admitted, with a margin. */
  readonly neededMs: number;
  /** Time until the caller's deadline. */
  readonly timeoutMs: number;
}

/** Shortest retry delay, about the duration of a pool's call. */
const MIN_RETURN_MS = 300;
/** Share of its time that a caller waits before it returns; longer is ignored. */
const MAX_WAIT_SHARE = 1 / 3;
/**
 * Part of the longest delay over which returns are spread at least. Callers that
 * are refused in the same moment would otherwise return in one moment.
 */
const MIN_SPREAD_SHARE = 0.5;

/**
 * Plans when a refused caller returns.
 *
 * Answers the returns after a burst: they are spread from the time at which there
 * is room until the queues are empty. No return is planned so late that the rest of
 * the caller's time is too short for an answer.
 *
 * @returns Retry delay in milliseconds, at most a third of the caller's time.
 */
export function planReturn(input: ReturnInput): number {
  const { requestId, timeoutMs } = input;
  const maxMs = timeoutMs * MAX_WAIT_SHARE;
  const minMs = Math.min(MIN_RETURN_MS, maxMs);
  const lastMs = Math.max(minMs, Math.min(maxMs, timeoutMs - input.neededMs));
  const spreadMs = Math.min(lastMs - minMs, lastMs * MIN_SPREAD_SHARE);
  const fromMs = Math.min(Math.max(minMs, input.roomMs), lastMs - spreadMs);
  const toMs = Math.min(lastMs, Math.max(input.drainMs, fromMs + spreadMs));
  const share = murmurhash.v3(`return\0${requestId}`) / 2 ** 32;
  return fromMs + (toMs - fromMs) * share;
}
