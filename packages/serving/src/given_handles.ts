/**
 * Handles of stage results that endpoints have given.
 *
 * @module
 */

/** A handle and the piece for which an answer gives it. */
export interface GivenHandle {
  readonly handle: string;
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
}

interface KnownHandle {
  readonly owner: string;
  /** Monotonic time of the answer. */
  readonly at: number;
}

/**
 * Time for which handles are remembered, in milliseconds: longer than a connection is
 * idle between two calls and a call takes.
 */
const KEEP_MS = 10_000;

/**
 * Detects an answer that an endpoint sends a second time, in place of the next one:
 * its handles belong to pieces of an earlier call.
 */
export class GivenHandles {
  /** In the order of their times. */
  readonly #known = new Map<string, KnownHandle>();

  /**
   * Records the handles of an answer, unless one of them was given for another piece.
   *
   * @param handles The handles by the pieces of the call.
   * @param now Monotonic time in milliseconds.
   * @returns Whether the answer belongs to the call, as far as its handles show.
   * @example
   * ```ts
   * const piece = { requestId: "r1", stage: 0, piece: 0 };
   * given.record([{ handle: "10.1.64.7:8080/91bd", ...piece }], now); // true
   * given.record([{ handle: "10.1.64.7:8080/91bd", ...piece, piece: 1 }], now); // false
   * ```
   */
  record(handles: readonly GivenHandle[], now: number): boolean {
    this.#dropOld(now);
    const isOwn = handles.every((given) => {
      const known = this.#known.get(given.handle);
      return known === undefined || known.owner === buildOwner(given);
    });
    if (!isOwn) return false;
    for (const given of handles) {
      this.#known.delete(given.handle);
      this.#known.set(given.handle, { owner: buildOwner(given), at: now });
    }
    return true;
  }

  #dropOld(now: number): void {
    for (const [handle, { at }] of this.#known) {
      if (now - at < KEEP_MS) return;
      this.#known.delete(handle);
    }
  }
}

function buildOwner({ requestId, stage, piece }: GivenHandle): string {
  return `${requestId} ${stage} ${piece}`;
}
