/**
 * A timeout for an answer from another process.
 *
 * @module
 */

/**
 * Calls a handler unless it is cancelled in time.
 *
 * After a pause of this process, its timers fire before it reads what arrived
 * meanwhile. So the handler runs only after what has arrived was handled: otherwise
 * a healthy endpoint is taken for one that doesn't answer.
 *
 * @example
 * ```ts
 * const timeout = new IoTimeout(() => request.cancel(), 150);
 * timeout.cancel();
 * ```
 */
export class IoTimeout {
  readonly #timer: NodeJS.Timeout;
  #immediate: NodeJS.Immediate | undefined;

  /** @param handler Called after the timeout. @param timeoutMs In milliseconds. */
  constructor(handler: () => void, timeoutMs: number) {
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(handler);
    }, timeoutMs);
  }

  /** The handler won't be called any more. */
  cancel(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }
}
