/**
 * The lifetime of one request: its age, and cleanup when it ends.
 *
 * @module
 */

/** Why a request ended. */
export const END_REASON = {
  callerDisconnected: "callerDisconnected",
  timedOut: "timedOut",
  /** The VM exits before the request is done. */
  stopping: "stopping",
  done: "done",
} as const;
/** A value of {@link END_REASON}. */
export type EndReason = typeof END_REASON[keyof typeof END_REASON];

/**
 * Cancels the work of a request when the request ends.
 *
 * Code that starts work for a request registers a listener that cancels it.
 * Otherwise endpoints would stay busy with answers for disconnected callers.
 */
export class RequestScope {
  readonly startedAt = performance.now();
  readonly #endListeners = new Set<(reason: EndReason) => void>();
  #endReason: EndReason | undefined;
  #deadlineAt = Infinity;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Why the request ended; undefined while it runs. The clock decides whether its time
   * is up: a process that was busy or stopped reads answers before its timers run.
   */
  get endedBy(): EndReason | undefined {
    const isTimedOut = this.#endReason === undefined &&
      performance.now() >= this.#deadlineAt;
    return isTimedOut ? END_REASON.timedOut : this.#endReason;
  }

  /** Monotonic time at which its time is up; Infinity if it has no deadline. */
  get deadlineAt(): number {
    return this.#deadlineAt;
  }

  /** Milliseconds since the request arrived. */
  get ageMs(): number {
    return performance.now() - this.startedAt;
  }

  /**
   * Calls a listener when the request ends, or at once if it has ended.
   *
   * @returns Removes the listener.
   */
  addEndListener(listener: (reason: EndReason) => void): () => void {
    if (this.#endReason !== undefined) {
      listener(this.#endReason);
      return () => {};
    }
    this.#endListeners.add(listener);
    return () => this.#endListeners.delete(listener);
  }

  /** Waits for some time, or until the request ends. @param ms In milliseconds. */
  wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        removeListener();
        resolve();
      }, ms);
      const removeListener = this.addEndListener(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Ends the request after a time since its arrival. @param ms In milliseconds. */
  startDeadline(ms: number): void {
    clearTimeout(this.#timer);
    this.#deadlineAt = this.startedAt + ms;
    this.#timer = setTimeout(
      () => this.end(END_REASON.timedOut),
      Math.max(0, ms - this.ageMs),
    );
  }

  /** Ends the request; later calls have no effect. */
  end(reason: EndReason): void {
    if (this.#endReason !== undefined) return;
    this.#endReason = reason;
    clearTimeout(this.#timer);
    for (const listener of [...this.#endListeners]) listener(reason);
    this.#endListeners.clear();
  }
}
