/**
 * What a report tells.
 *
 * @module
 */

/** Length of a window, in milliseconds: a burst lasts three or more of them. */
export const WINDOW_MS = 2_000;

/** What became of the requests of a route that arrived in one window. */
export interface RouteWindow {
  readonly route: string;
  /** Start of the window, in milliseconds from the report's start. */
  readonly atMs: number;
  readonly asked: number;
  /** Of those, callers that had been refused before. */
  readonly returned: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Callers that left before their answer was whole. */
  readonly left: number;
  /** Codes and reasons of what was refused or failed, and how often. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** What a pool did in one window. */
export interface PoolWindow {
  readonly service: string;
  readonly atMs: number;
  readonly calls: number;
  readonly pieces: number;
  /** Share of the places of its calls that were used, 0 to 1. */
  readonly fill: number;
  /** Endpoints that were called. */
  readonly endpoints: number;
  /** Calls that ran at the same time, on average. */
  readonly busy: number;
  /** Groups that went on waiting after a call started, on average. */
  readonly waiting: number;
  /** Room left at the called endpoint after a call started, mean bytes. */
  readonly freeBytes: number;
  /** Room there that groups are promised for later calls, mean bytes. */
  readonly promisedBytes: number;
  /** Pieces that came back without result, by reason, and calls that failed. */
  readonly problems: Readonly<Record<string, number>>;
}

/** A median and a high quantile, in milliseconds. */
export interface TimeSpread {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
}

/** Where the time of a route's streams went, up to the first event. */
export interface RouteTimes {
  readonly route: string;
  /** From the arrival to the send: queues and calls of its stages. */
  readonly stages: TimeSpread;
  /** From the send to the first event. */
  readonly engine: TimeSpread;
  readonly objectiveMs: number;
}

/** What one VM noticed. */
export interface VmSummary {
  readonly vm: string;
  readonly requests: number;
  readonly leaderChanges: number;
  readonly endpointsAvoided: number;
  /** Times at which the process did not run for a while. */
  readonly pauses: number;
  readonly linesDropped: number;
}

/** What binds on a site. */
export interface SiteReport {
  readonly windowMs: number;
  /** Time of the first line. */
  readonly startedAt?: string;
  readonly lines: number;
  readonly skipped: number;
  readonly routes: readonly RouteWindow[];
  readonly pools: readonly PoolWindow[];
  readonly times: readonly RouteTimes[];
  readonly vms: readonly VmSummary[];
}
