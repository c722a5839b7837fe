/**
 * Stepped time: callbacks in order of their moment.
 *
 * @module
 */
import { Heap } from "heap-js";

interface Step {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in order of time; equal moments in order of insertion. */
export class EventQueue {
  now = 0;
  readonly #steps = new Heap<Step>((a, b) => a.at - b.at || a.order - b.order);
  #count = 0;

  /** Adds a callback at a moment in milliseconds. */
  add(at: number, run: () => void): void {
    this.#steps.push({ at, order: this.#count++, run });
  }

  /** Runs everything up to a moment. */
  runUntil(endAt: number): void {
    for (;;) {
      const step = this.#steps.peek();
      if (!step || step.at > endAt) return;
      this.#steps.pop();
      this.now = step.at;
      step.run();
    }
  }
}
