/**
 * The life of one request: its time, and what must end with it.
 *
 * @module
 */

/** Why a request ended before its answer. */
export const END = {
  callerLeft: "callerLeft",
  timeUp: "timeUp",
  done: "done",
} as const;
/** A value of {@link END}. */
export type End = typeof END[keyof typeof END];

/**
 * Ends everything that a request started.
 *
 * Guards against work for a caller that has left: it shows as endpoints that
 * are busy with answers nobody reads. Whatever starts work adds how to end it.
 */
export class RequestScope {
  readonly startedAt = performance.now();
  readonly #endings = new Set<(end: End) => void>();
  #ended: End | undefined;

  /** How the request ended, if it has. */
  get ended(): End | undefined {
    return this.#ended;
  }

  /** Milliseconds since the request arrived. */
  get ageMs(): number {
    return performance.now() - this.startedAt;
  }

  /** Calls a function when the request ends; at once if it has. */
  addEnding(handle: (end: End) => void): () => void {
    if (this.#ended !== undefined) {
      handle(this.#ended);
      return () => {};
    }
    this.#endings.add(handle);
    return () => this.#endings.delete(handle);
  }

  /** Ends the request once. */
  end(end: End): void {
    if (this.#ended !== undefined) return;
    this.#ended = end;
    for (const handle of [...this.#endings]) handle(end);
    this.#endings.clear();
  }
}
