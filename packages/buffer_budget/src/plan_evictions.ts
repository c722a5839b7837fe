/**
 * Which unread responses end when the budget is exhausted.
 *
 * @module
 */

/**
 * Time without a read after which a caller counts as not reading, in milliseconds.
 * Lost packets stop a healthy connection for some 200 ms at a time.
 */
export const MIN_UNREAD_MS = 1_000;

/** A response that may be ended. */
export interface UnreadResponse {
  readonly id: number;
  /** Bytes that its caller has not read. */
  readonly unreadBytes: number;
  /** Time since the caller last read, in milliseconds. */
  readonly unreadMs: number;
}

/**
 * Plans which responses end to free memory, the largest that is unread longest first.
 *
 * Load: callers that don't read hold the whole budget while others need it. Callers
 * that read, however slowly, are never chosen. If all who don't read hold less than
 * is needed, none is ended, because that would harm them without a gain.
 *
 * @param responses All responses with unread bytes.
 * @param neededBytes Bytes to free.
 * @returns Ids of the responses to end; empty if that can't free enough.
 *
 * @example
 * ```ts
 * planEvictions([{ id: 1, unreadBytes: 900, unreadMs: 1_500 }], 800); // [1]
 * ```
 */
export function planEvictions(
  responses: Iterable<UnreadResponse>,
  neededBytes: number,
): number[] {
  const candidates = [...responses]
    .filter(({ unreadBytes, unreadMs }) =>
      unreadBytes > 0 && unreadMs >= MIN_UNREAD_MS
    )
    .sort((a, b) =>
      b.unreadBytes * b.unreadMs - a.unreadBytes * a.unreadMs || a.id - b.id
    );
  const ids: number[] = [];
  let freedBytes = 0;
  for (const { id, unreadBytes } of candidates) {
    if (freedBytes >= neededBytes) break;
    ids.push(id);
    freedBytes += unreadBytes;
  }
  return freedBytes >= neededBytes ? ids : [];
}
