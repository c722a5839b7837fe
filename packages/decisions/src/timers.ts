/**
 * Timers of requests and calls.
 *
 * @module
 */
import { Heap } from "heap-js";
import type { TrackedCall, TrackedRequest } from "./tracked.ts";

/** A timer; `at` is the time at which it is due. */
export type Timer =
  /** The latest start of a waiting request. */
  | {
    readonly kind: "give_up";
    readonly at: number;
    readonly request: TrackedRequest;
    readonly token: number;
  }
  /** The deadline of a request. */
  | {
    readonly kind: "deadline";
    readonly at: number;
    readonly request: TrackedRequest;
  }
  /** The time from which a call is overdue and its endpoint is suspected. */
  | {
    readonly kind: "overdue";
    readonly at: number;
    readonly call: TrackedCall;
  }
  /** The time after which a call may be hedged. */
  | { readonly kind: "hedge"; readonly at: number; readonly call: TrackedCall };

/** Timers ordered by time; obsolete ones are recognised when they are due. */
export class Timers {
  readonly #heap = new Heap<Timer>((a, b) => a.at - b.at);

  /** Adds a timer. */
  add(timer: Timer): void {
    this.#heap.push(timer);
  }

  /** Removes and returns the next timer that is due. */
  popDue(now: number): Timer | undefined {
    const next = this.#heap.peek();
    return next && next.at <= now ? this.#heap.pop() : undefined;
  }
}
