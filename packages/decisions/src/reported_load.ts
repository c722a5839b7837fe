/**
 * Load of an endpoint by other entries, from its lagging reports.
 *
 * @module
 */
import type { LoadReport } from "@sardinestep/types";

/** Starts and ends that are remembered; reports lag by less. */
const MAX_MOMENTS = 256;

/**
 * Weight of a new report. Calls are shorter than the lag, so one report is a
 * sample of the past; the mean of several tells more about now.
 */
const SMOOTHING = 0.2;

/**
 * Calls of others in an endpoint.
 *
 * Made for lagging reports: an endpoint that looked idle a moment ago gets work
 * from every entry at once. Own calls are known exactly, so the report counts
 * for the others' part only: what it names, less what this entry had there when
 * it was measured. Own calls sent since then are so added without waiting for
 * the next report.
 */
export class ReportedLoad {
  /** Mean of the calls of other entries that run or wait there. */
  others = 0;
  /** Calls that waited there at the last report. */
  waiting = 0;
  measuredAt = -Infinity;
  #started: number[] = [];
  #ended: number[] = [];

  /** Notes that an own call begins. */
  recordStart(now: number): void {
    addMoment(this.#started, now);
  }

  /** Notes that an own call ends. */
  recordEnd(now: number): void {
    addMoment(this.#ended, now);
  }

  /** Takes in a report; an older one than the last changes nothing. */
  apply(report: LoadReport, ownInFlight: number): void {
    const { measuredAt } = report;
    if (measuredAt < this.measuredAt) return;
    this.measuredAt = measuredAt;
    this.#started = this.#started.filter((at) => at >= measuredAt);
    this.#ended = this.#ended.filter((at) => at >= measuredAt);
    const ownThen = ownInFlight - this.#started.length + this.#ended.length;
    this.waiting = report.waiting;
    const others = Math.max(0, report.running + report.waiting - ownThen);
    this.others += SMOOTHING * (others - this.others);
  }

  /** Forgets reports of an earlier run of the endpoint. */
  reset(): void {
    this.others = 0;
    this.waiting = 0;
  }
}

function addMoment(moments: number[], now: number): void {
  moments.push(now);
  if (moments.length > MAX_MOMENTS) moments.shift();
}
