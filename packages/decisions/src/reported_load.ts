/**
 * Estimated load that other entries put on an endpoint, from its reports.
 *
 * @module
 */
import type { LoadReport } from "@sardinestep/types";

/** Limit on stored start and end times; reports lag by fewer calls. */
const MAX_TIMESTAMPS = 256;

/**
 * Weight of a new report. Calls are shorter than the lag, so one report samples
 * the past; the mean of several is a better estimate of the present.
 */
const SMOOTHING_FACTOR = 0.2;

/**
 * Estimates the calls that other entries have at an endpoint.
 *
 * Reports lag, so an endpoint that was idle at its last report could get work
 * from every entry at once. Own calls are known exactly and count immediately;
 * the report is used only for other entries: the reported calls less the own
 * calls at the time of measurement.
 */
export class ReportedLoad {
  /** Moving average of the running and waiting calls of other entries. */
  otherCalls = 0;
  /** Calls waiting inside the endpoint at the last report. */
  waiting = 0;
  measuredAt = -Infinity;
  #startTimes: number[] = [];
  #endTimes: number[] = [];

  /** Records the start of an own call. */
  recordStart(now: number): void {
    addTimestamp(this.#startTimes, now);
  }

  /** Records the end of an own call. */
  recordEnd(now: number): void {
    addTimestamp(this.#endTimes, now);
  }

  /** Applies a report; one older than the last is ignored. */
  apply(report: LoadReport, ownInFlight: number): void {
    const { measuredAt } = report;
    if (measuredAt < this.measuredAt) return;
    this.measuredAt = measuredAt;
    this.#startTimes = this.#startTimes.filter((at) => at >= measuredAt);
    this.#endTimes = this.#endTimes.filter((at) => at >= measuredAt);
    const ownCallsThen = ownInFlight - this.#startTimes.length +
      this.#endTimes.length;
    this.waiting = report.waiting;
    const otherCalls = Math.max(
      0,
      report.running + report.waiting - ownCallsThen,
    );
    this.otherCalls += SMOOTHING_FACTOR * (otherCalls - this.otherCalls);
  }

  /** Discards the reports of a previous instance of the endpoint. */
  reset(): void {
    this.otherCalls = 0;
    this.waiting = 0;
  }
}

function addTimestamp(timestamps: number[], now: number): void {
  timestamps.push(now);
  if (timestamps.length > MAX_TIMESTAMPS) timestamps.shift();
}
