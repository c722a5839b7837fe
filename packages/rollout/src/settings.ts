/**
 * Settings of roll-outs: exposure bound and verdict thresholds.
 *
 * @module
 */

/** Upper bound on the requests sent to a version before it is proved good. */
export interface ExposureBound {
  /** Share of the service's requests, 0 to 1. */
  readonly share: number;
  /** Number of requests allowed on top of that share. */
  readonly slack: number;
}

/** Thresholds by which answers prove a version good or bad. */
export interface VerdictSettings {
  /**
   * Probability of rolling back a version that is as good as the present one.
   */
  readonly falseAlarmRate: number;
  /** Probability of accepting a version that is worse. */
  readonly missRate: number;
  /** Share of good answers that a bad version loses, 0 to 1. */
  readonly lossShare: number;
  /** Multiple of the usual longest time from which an answer counts as bad. */
  readonly slowFactor: number;
  /** Bad answers that prove a version bad even if one endpoint group gave all. */
  readonly lonelyBadAnswers: number;
}

/** Settings that apply to all roll-outs. */
export interface RolloutSettings {
  readonly exposure: ExposureBound;
  readonly verdict: VerdictSettings;
}

/** Settings used where the operator sets none. */
export const DEFAULT_SETTINGS: RolloutSettings = {
  exposure: { share: 0.1, slack: 10 },
  verdict: {
    falseAlarmRate: 0.001,
    missRate: 0.05,
    lossShare: 0.25,
    slowFactor: 2,
    lonelyBadAnswers: 12,
  },
};
