/**
 * Whether a response is read further while its caller reads slowly.
 *
 * @module
 */

const KIBIBYTE = 1_024;

/**
 * Share of the budget that unread responses may take together. The rest stays
 * available for the bodies of requests that still have to be run.
 */
export const UNREAD_SHARE = 0.5;
/**
 * Bytes that each response may hold whatever the others hold, as much as a socket
 * buffers by default: below it every piece of a response would cause a pause.
 */
export const MIN_CONNECTION_BYTES = 16 * KIBIBYTE;
/**
 * Pause after which a response is read again, in milliseconds: half of the 2 s after
 * which an endpoint cuts off a response that stays unread.
 */
export const PAUSE_MS = 1_000;
/**
 * Bytes that are read after a pause. A sender whose kernel buffer is full goes on only
 * when a third of it is free, 1.4 MB of the 4 MB that Linux allows: with 256 KB, 512 KB
 * and 1 MB the endpoint of the tests saw no progress within 2 s and cut off.
 */
export const PAUSE_READ_BYTES = 2_048 * KIBIBYTE;

/** State of one response and of the budget; sizes in bytes. */
export interface RelayState {
  /** Limit of everything the process holds. */
  readonly limitBytes: number;
  /** What it holds now. */
  readonly heldBytes: number;
  /** Unread bytes of all responses, a part of `heldBytes`. */
  readonly unreadBytes: number;
  /** Unread bytes of this response. */
  readonly connectionBytes: number;
  /** Bytes that this response may hold since its last pause ended. */
  readonly allowanceBytes: number;
  /** How long it has been paused, in milliseconds; undefined if it is read. */
  readonly pausedMs?: number;
}

/** What happens with a response next. */
export type RelayDecision =
  /** Read on, up to the larger of the share and `allowanceBytes`. */
  | { readonly kind: "read"; readonly allowanceBytes: number }
  /** Stop reading, and decide again after `checkAfterMs` milliseconds. */
  | { readonly kind: "pause"; readonly checkAfterMs: number }
  /** Reading must go on, but needs `neededBytes` that others hold. */
  | { readonly kind: "makeRoom"; readonly neededBytes: number };

/**
 * Returns the room that is left for unread responses, in bytes.
 *
 * @example
 * ```ts
 * getUnreadRoom({ limitBytes: 100, heldBytes: 70, unreadBytes: 10 }); // 30
 * ```
 */
export function getUnreadRoom(
  state: Pick<RelayState, "limitBytes" | "heldBytes" | "unreadBytes">,
): number {
  const { limitBytes, heldBytes, unreadBytes } = state;
  return Math.max(
    0,
    Math.min(
      limitBytes - heldBytes,
      limitBytes * UNREAD_SHARE - unreadBytes,
    ),
  );
}

/**
 * Decides whether the response to a slow caller is read further from its endpoint.
 *
 * Load: callers that read slower than endpoints send, up to not reading at all.
 * Source: dynamic queue thresholds (Choudhury and Hahne, 1998): a response may hold
 * as much as is still free. With `n` callers that don't read, each gets 1/(n + 1)
 * of the room and 1/(n + 1) stays free, without counting the callers.
 *
 * @example
 * ```ts
 * decideRelay({
 *   limitBytes: 48e6,
 *   heldBytes: 0,
 *   unreadBytes: 0,
 *   connectionBytes: 65_536,
 *   allowanceBytes: 0,
 * }); // { kind: "read", allowanceBytes: 0 }
 * ```
 */
export function decideRelay(state: RelayState): RelayDecision {
  const { connectionBytes, allowanceBytes, pausedMs } = state;
  const roomBytes = getUnreadRoom(state);
  if (connectionBytes <= Math.max(MIN_CONNECTION_BYTES, roomBytes)) {
    return { kind: "read", allowanceBytes: 0 };
  }
  if (connectionBytes <= allowanceBytes && roomBytes > 0) {
    return { kind: "read", allowanceBytes };
  }
  if (pausedMs === undefined) return { kind: "pause", checkAfterMs: PAUSE_MS };
  if (pausedMs < PAUSE_MS) {
    return { kind: "pause", checkAfterMs: PAUSE_MS - pausedMs };
  }
  return roomBytes >= PAUSE_READ_BYTES
    ? { kind: "read", allowanceBytes: connectionBytes + PAUSE_READ_BYTES }
    : { kind: "makeRoom", neededBytes: PAUSE_READ_BYTES - roomBytes };
}
