/**
 * Moments at which something has to be looked at again.
 *
 * @module
 */
import { Heap } from "heap-js";
import type { TrackedCall, TrackedRequest } from "./tracked.ts";

/** What is looked at. */
export type Timer =
  /** A waiting request can no longer be in time. */
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
  /** A call runs so long that its endpoint is in doubt. */
  | {
    readonly kind: "overdue";
    readonly at: number;
    readonly call: TrackedCall;
  }
  /** A call runs longer than nearly all of its kind. */
  | { readonly kind: "hedge"; readonly at: number; readonly call: TrackedCall };

/** Timers in order; an obsolete one is recognised when it comes up. */
export class Timers {
  readonly #heap = new Heap<Timer>((a, b) => a.at - b.at);

  /** Adds a timer. */
  add(timer: Timer): void {
    this.#heap.push(timer);
  }

  /** Takes the next timer that is due. */
  popDue(now: number): Timer | undefined {
    const next = this.#heap.peek();
    return next && next.at <= now ? this.#heap.pop() : undefined;
  }
}
