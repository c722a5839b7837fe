/**
 * Bytes of request bodies that each endpoint holds for this VM.
 *
 * @module
 */

/**
 * Decides whether one more body may be sent to an endpoint.
 *
 * Load: large bodies for an endpoint that reads them slowly or not at all. One body
 * is always allowed, or a body above the limit could never be sent.
 *
 * @param inFlightBytes Bodies of the requests that the endpoint has from this VM.
 * @param bodyBytes Size of the next one.
 * @param limitBytes Limit for this endpoint and VM.
 *
 * @example
 * ```ts
 * mayHoldBody(3_000, 2_000, 4_000); // false
 * ```
 */
export function mayHoldBody(
  inFlightBytes: number,
  bodyBytes: number,
  limitBytes: number,
): boolean {
  return inFlightBytes === 0 || inFlightBytes + bodyBytes <= limitBytes;
}

/** Counts the bytes of the bodies that each endpoint holds for this VM. */
export class EndpointBytes {
  readonly #limitBytes: number;
  readonly #bytesById = new Map<string, number>();

  /** @param limitBytes Limit for each endpoint, in bytes. */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes of all endpoints. */
  get totalBytes(): number {
    return [...this.#bytesById.values()].reduce((sum, n) => sum + n, 0);
  }

  /**
   * Counts a body toward an endpoint, if it has room.
   *
   * @returns Releases the bytes, once; undefined if there is no room.
   */
  addBody(endpointId: string, bytes: number): (() => void) | undefined {
    const held = this.#bytesById.get(endpointId) ?? 0;
    if (!mayHoldBody(held, bytes, this.#limitBytes)) return undefined;
    if (bytes === 0) return () => {};
    this.#bytesById.set(endpointId, held + bytes);
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const left = (this.#bytesById.get(endpointId) ?? 0) - bytes;
      if (left > 0) this.#bytesById.set(endpointId, left);
      else this.#bytesById.delete(endpointId);
    };
  }
}
