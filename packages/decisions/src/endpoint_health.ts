/**
 * Whether an endpoint can be trusted with new work, from how its calls went.
 *
 * @module
 */
import type { CallFailureKind } from "./event.ts";

/** First pause after a failure in milliseconds; doubled by each further one. */
const FIRST_PAUSE_MS: Readonly<Record<CallFailureKind, number>> = {
  /** A process that restarts listens again within a fraction of a second. */
  not_sent: 250,
  /** A refusing endpoint is usually just full for the length of a call. */
  refused: 100,
  broken: 1_000,
  timeout: 1_000,
  bad_answer: 1_000,
};
/** Longest pause: an endpoint that works again is found within so long. */
const MAX_PAUSE_MS = 4_000;
/** Pause between probes of a slow endpoint. */
const SLOW_PAUSE_MS = 2_000;
/** Weight of a new call in the slowness. */
const SMOOTHING = 0.2;
/** A single stalled call counts at most so many times what was expected. */
const MAX_RATIO = 3;
/**
 * So many times the expected time make a slow call. Sizes, caches and batches
 * explain a factor of two; a straggler is at three and above.
 */
const SLOW_RATIO = 3;
/**
 * No call is slow below, in milliseconds: event loops and networks pause for as
 * long at times, and three calls of a millisecond may fall into one pause.
 */
const MIN_SLOW_MS = 20;
/**
 * Slow calls in a row that make a straggler. One in fifty calls stalls on a
 * healthy endpoint; three in a row do not happen by chance.
 */
const SLOW_STREAK = 3;
/** Overdue calls in a row, cancelled without a result, that make a failure. */
const CANCEL_STREAK = 2;
/** It counts as recovered below that, so that it does not flap. */
const RECOVERED_RATIO = 1.8;

/** Failures and slowness of one endpoint. */
export class EndpointHealth {
  /** Failures since the last result. */
  failures = 0;
  /** No new work before that moment. */
  pausedUntil = 0;
  /** Mean time of its calls relative to what was expected. */
  slowness = 1;
  isSlow = false;
  #slowStreak = 0;
  #cancelStreak = 0;
  /** A call runs far too long and nothing has finished meanwhile. */
  isOverdue = false;
  lastFinishAt = 0;

  /** Whether just one call at a time may go there to see how it fares. */
  get isProbed(): boolean {
    return this.failures > 0 || this.isSlow;
  }

  /** Whether it may get new work at that moment. */
  isOpen(now: number): boolean {
    return now >= this.pausedUntil && !this.isOverdue;
  }

  /**
   * Takes in a result; `ratio` is its time relative to what was expected.
   *
   * A call that was under way when the endpoint was shut out for being slow may
   * prove it well: then its pause ends too. Otherwise it would stay shut without
   * counting among those that are, and soon all endpoints of a pool would be.
   */
  recordFinish(
    ratio: number,
    { elapsedMs, now }: { elapsedMs: number; now: number },
  ): void {
    this.slowness += SMOOTHING * (Math.min(MAX_RATIO, ratio) - this.slowness);
    this.failures = 0;
    this.isOverdue = false;
    this.#cancelStreak = 0;
    const isSlowCall = ratio >= SLOW_RATIO && elapsedMs >= MIN_SLOW_MS;
    this.#slowStreak = isSlowCall ? this.#slowStreak + 1 : 0;
    if (this.#slowStreak === 0) this.lastFinishAt = now;
    const isWell = ratio < RECOVERED_RATIO || elapsedMs < MIN_SLOW_MS;
    if (this.isSlow && isWell) {
      this.#setRecovered();
      this.pausedUntil = Math.min(this.pausedUntil, now);
    }
    if (this.isSlow) this.pausedUntil = now + SLOW_PAUSE_MS;
  }

  /**
   * Takes in a failure and pauses the endpoint.
   *
   * Made for an endpoint that fails every call at once: being idle, it would
   * attract all new work. One failure is enough, since a pause costs little;
   * calls that fail together count once.
   */
  recordFailure(reason: CallFailureKind, now: number): void {
    this.isOverdue = false;
    if (now < this.pausedUntil) return;
    const pauseMs = FIRST_PAUSE_MS[reason] * 2 ** this.failures;
    this.failures += 1;
    this.pausedUntil = now + Math.min(MAX_PAUSE_MS, pauseMs);
  }

  /**
   * Takes in that its last overdue call was cancelled, so that no result will
   * tell whether it works. The first time it may have been a single stall; a
   * second one in a row counts as a failure.
   */
  recordOverdueCancel(now: number): void {
    this.#cancelStreak += 1;
    this.isOverdue = false;
    if (this.#cancelStreak >= CANCEL_STREAK) this.recordFailure("timeout", now);
  }

  /** Ends a pause that failures have caused; it is probed at once. */
  endPause(now: number): void {
    if (!this.isSlow) this.pausedUntil = Math.min(this.pausedUntil, now);
  }

  /** Whether it has become a straggler and is not yet treated as one. */
  hasBecomeSlow(): boolean {
    return !this.isSlow && this.#slowStreak >= SLOW_STREAK;
  }

  /** Treats it as a straggler from now on. */
  setSlow(now: number): void {
    this.isSlow = true;
    this.pausedUntil = now + SLOW_PAUSE_MS;
  }

  /** Forgets everything: the endpoint has started again. */
  reset(): void {
    this.failures = 0;
    this.pausedUntil = 0;
    this.isOverdue = false;
    this.#setRecovered();
  }

  #setRecovered(): void {
    this.isSlow = false;
    this.slowness = 1;
    this.#slowStreak = 0;
  }
}
