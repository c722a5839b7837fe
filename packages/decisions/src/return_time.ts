/**
 * When a refused caller should come back.
 *
 * @module
 */
import type { Pool } from "./pool.ts";

/** What {@link getReturnMs} is given; times in milliseconds. */
export interface ReturnOptions {
  readonly now: number;
  /** How much too late the request would have finished. */
  readonly lateMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** No caller is sent back sooner: a shorter time is just load. */
const MIN_RETURN_MS = 200;
/** People at a gate give up after longer than that. */
const MAX_RETURN_MS = 30_000;

/**
 * Gives the time after which a refused caller should come back.
 *
 * Made for the moment after a burst: callers that were refused together and
 * return together are the next burst. They come back after the present backlog
 * would let them in, spread over the time that the pool needs to serve all who
 * were refused lately.
 */
export function getReturnMs(
  pool: Pool | undefined,
  options: ReturnOptions,
): number {
  const spreadMs = pool?.refusals.getServiceMs(options.now) ?? 0;
  const baseMs = MIN_RETURN_MS + options.lateMs;
  const returnMs = baseMs + options.random * (MIN_RETURN_MS + spreadMs);
  return Math.round(Math.min(MAX_RETURN_MS, returnMs));
}

/** How long refusals are remembered: about as long as callers stay away. */
const MEMORY_MS = 5_000;

/** Work that was refused lately, fading with time. */
export class RecentRefusals {
  #workMs = 0;
  #at = 0;
  readonly #getSlots: () => number;

  constructor(getSlots: () => number) {
    this.#getSlots = getSlots;
  }

  /** Notes a refusal of work in worker milliseconds. */
  record(workMs: number, now: number): void {
    this.#workMs = this.#getWork(now) + workMs;
    this.#at = now;
  }

  /** Time that the pool would need for all that was refused lately. */
  getServiceMs(now: number): number {
    return this.#getWork(now) / Math.max(1, this.#getSlots());
  }

  #getWork(now: number): number {
    return this.#workMs * Math.exp((this.#at - now) / MEMORY_MS);
  }
}
