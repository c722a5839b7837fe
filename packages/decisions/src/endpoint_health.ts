/**
 * Health of an endpoint, derived from the outcomes of its calls.
 *
 * @module
 */
import type { CallFailureKind } from "./event.ts";

/** Pause after a first failure in milliseconds, doubled for each further one. */
const FIRST_PAUSE_MS: Readonly<Record<CallFailureKind, number>> = {
  /** A restarting process listens again within a fraction of a second. */
  not_sent: 250,
  /** A refusing endpoint is usually full only for the duration of a call. */
  refused: 100,
  broken: 1_000,
  timeout: 1_000,
  bad_answer: 1_000,
};
/** Longest pause; bounds the time until a recovered endpoint is detected. */
const MAX_PAUSE_MS = 4_000;
/** Pause between probes of a slow endpoint. */
const SLOW_PROBE_INTERVAL_MS = 2_000;
/** Weight of a new call in the moving average of the latency ratio. */
const SMOOTHING_FACTOR = 0.2;
/** Maximum latency ratio of a call, so that a single stall counts less. */
const MAX_SAMPLE_RATIO = 3;
/**
 * A call is slow from this multiple of its expected time. Sizes, caches and
 * batches account for a factor of two; stragglers are at three and above.
 */
const SLOW_RATIO = 3;
/**
 * No call is slow below this time: event loops and networks occasionally pause
 * that long, and three calls of a millisecond may fall into one pause.
 */
const MIN_SLOW_CALL_MS = 20;
/**
 * Consecutive slow calls that identify a straggler. On a healthy endpoint one
 * call in fifty stalls; three in a row do not happen by chance.
 */
const SLOW_STREAK = 3;
/** Consecutive cancelled overdue calls that count as a failure. */
const CANCEL_STREAK = 2;
/** A slow endpoint has recovered below this ratio; the gap avoids flapping. */
const RECOVERED_RATIO = 1.8;

/** Failures and slowness of one endpoint. */
export class EndpointHealth {
  /** Number of failures since the last result. */
  failures = 0;
  /** Time before which it gets no new calls. */
  pausedUntil = 0;
  /** Moving average of the ratio of measured to expected time of its calls. */
  latencyRatio = 1;
  isSlow = false;
  #slowStreak = 0;
  #cancelStreak = 0;
  /** Whether a call is overdue and no other call has finished meanwhile. */
  isStalled = false;
  lastNormalFinishAt = 0;

  /** Whether it gets only one call at a time, as a probe. */
  get isOnProbation(): boolean {
    return this.failures > 0 || this.isSlow;
  }

  /** Returns whether it may get new calls at `now`. */
  mayTakeCalls(now: number): boolean {
    return now >= this.pausedUntil && !this.isStalled;
  }

  /**
   * Records a result; `ratio` is measured over expected time.
   *
   * A call that was running when the endpoint was excluded for being slow may
   * show that it has recovered. This ends its pause too: otherwise it would be
   * paused without counting as excluded, and soon all endpoints would be paused.
   */
  recordFinish(
    ratio: number,
    { elapsedMs, now }: { elapsedMs: number; now: number },
  ): void {
    this.latencyRatio += SMOOTHING_FACTOR *
      (Math.min(MAX_SAMPLE_RATIO, ratio) - this.latencyRatio);
    this.failures = 0;
    this.isStalled = false;
    this.#cancelStreak = 0;
    const isSlowCall = ratio >= SLOW_RATIO && elapsedMs >= MIN_SLOW_CALL_MS;
    this.#slowStreak = isSlowCall ? this.#slowStreak + 1 : 0;
    if (this.#slowStreak === 0) this.lastNormalFinishAt = now;
    const isRecovered = ratio < RECOVERED_RATIO || elapsedMs < MIN_SLOW_CALL_MS;
    if (this.isSlow && isRecovered) {
      this.#clearSlow();
      this.pausedUntil = Math.min(this.pausedUntil, now);
    }
    if (this.isSlow) this.pausedUntil = now + SLOW_PROBE_INTERVAL_MS;
  }

  /**
   * Records a failure and pauses the endpoint.
   *
   * An endpoint that fails every call immediately is idle and would attract all
   * new work. One failure is enough, since a pause costs little; calls failing
   * together count once.
   */
  recordFailure(reason: CallFailureKind, now: number): void {
    this.isStalled = false;
    if (now < this.pausedUntil) return;
    const pauseMs = FIRST_PAUSE_MS[reason] * 2 ** this.failures;
    this.failures += 1;
    this.pausedUntil = now + Math.min(MAX_PAUSE_MS, pauseMs);
  }

  /**
   * Records that its last overdue call was cancelled, so that no result will
   * show whether it works. The first such call may be a single stall; a second
   * one in a row counts as a failure.
   */
  recordOverdueCancel(now: number): void {
    this.#cancelStreak += 1;
    this.isStalled = false;
    if (this.#cancelStreak >= CANCEL_STREAK) this.recordFailure("timeout", now);
  }

  /** Ends a pause caused by failures, so that it is probed immediately. */
  endPause(now: number): void {
    if (!this.isSlow) this.pausedUntil = Math.min(this.pausedUntil, now);
  }

  /** Returns whether it is a straggler that is not yet marked as slow. */
  hasBecomeSlow(): boolean {
    return !this.isSlow && this.#slowStreak >= SLOW_STREAK;
  }

  /** Marks it as slow and pauses it until the next probe. */
  markSlow(now: number): void {
    this.isSlow = true;
    this.pausedUntil = now + SLOW_PROBE_INTERVAL_MS;
  }

  /** Clears failures and slowness after a restart of the endpoint. */
  reset(): void {
    this.failures = 0;
    this.pausedUntil = 0;
    this.isStalled = false;
    this.#clearSlow();
  }

  #clearSlow(): void {
    this.isSlow = false;
    this.latencyRatio = 1;
    this.#slowStreak = 0;
  }
}
