/**
 * Delay after which a refused caller should retry.
 *
 * @module
 */
import type { Pool } from "./pool.ts";

/** Input of {@link getRetryAfterMs}; times are in milliseconds. */
export interface RetryAfterOptions {
  readonly now: number;
  /** Time by which the request would have missed its deadline. */
  readonly lateMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Minimum delay: earlier retries would only add load. */
const MIN_RETRY_AFTER_MS = 200;
/** Maximum delay: people at a gate do not wait longer. */
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Returns the delay after which a refused caller should retry.
 *
 * Callers that are refused together and retry together would form the next
 * burst. The delay covers the time until the current backlog would admit them,
 * plus a random part of the time that the pool needs to serve all recently
 * refused work.
 */
export function getRetryAfterMs(
  pool: Pool | undefined,
  options: RetryAfterOptions,
): number {
  const spreadMs = pool?.refusals.getServiceTimeMs(options.now) ?? 0;
  const baseMs = MIN_RETRY_AFTER_MS + options.lateMs;
  const retryMs = baseMs + options.random * (MIN_RETRY_AFTER_MS + spreadMs);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, retryMs));
}

/** Decay time constant: about the time after which callers retry. */
const REFUSAL_DECAY_MS = 5_000;

/** Recently refused work, decaying exponentially. */
export class RecentRefusals {
  #workMs = 0;
  #updatedAt = 0;
  readonly #getSlots: () => number;

  constructor(getSlots: () => number) {
    this.#getSlots = getSlots;
  }

  /** Records refused work in worker milliseconds. */
  record(workMs: number, now: number): void {
    this.#workMs = this.#getWork(now) + workMs;
    this.#updatedAt = now;
  }

  /** Returns the time that the pool would need for recently refused work. */
  getServiceTimeMs(now: number): number {
    return this.#getWork(now) / Math.max(1, this.#getSlots());
  }

  #getWork(now: number): number {
    return this.#workMs * Math.exp((this.#updatedAt - now) / REFUSAL_DECAY_MS);
  }
}
