/**
 * Contents of a site report.
 *
 * @module
 */

import type {
  CauseCount,
  ConnectionSummary,
  EndpointSummary,
  RequestGroup,
  SlowdownBand,
  TruncationCount,
} from "./request_report.ts";

/** Length of a window, in milliseconds: a burst covers three or more windows. */
export const WINDOW_MS = 2_000;

/** Outcomes of the requests of a route that arrived in one window. */
export interface RouteWindow {
  readonly route: string;
  /** Start of the window, in milliseconds from the report's start. */
  readonly atMs: number;
  /** Requests that arrived, whether admitted or refused. */
  readonly asked: number;
  /** Of these, requests of callers that had been refused before. */
  readonly returned: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Requests whose caller disconnected before the answer was complete. */
  readonly left: number;
  /** Codes and reasons of refused and failed requests, with their counts. */
  readonly reasons: Readonly<Record<string, number>>;
}

/** Calls of a pool in one window. */
export interface PoolWindow {
  readonly service: string;
  readonly atMs: number;
  readonly calls: number;
  readonly pieces: number;
  /** Share of the batch capacity of its calls that was used, 0 to 1. */
  readonly fill: number;
  /** Endpoints that were called. */
  readonly endpoints: number;
  /** Mean number of concurrent calls. */
  readonly busy: number;
  /** Mean number of groups that were still queued after a call started. */
  readonly waiting: number;
  /** Mean of the bytes free at the called endpoint after a call started. */
  readonly freeBytes: number;
  /** Mean of the bytes reserved there for later calls of waiting groups. */
  readonly promisedBytes: number;
  /** Counts of pieces without a result, by reason, and of failed calls. */
  readonly problems: Readonly<Record<string, number>>;
}

/** A median and a high quantile, in milliseconds. */
export interface LatencyPercentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
}

/** Latency of a route's streams up to the first event, by part. */
export interface RouteLatencies {
  readonly route: string;
  /** From arrival to send: queueing and calls of the stages. */
  readonly stages: LatencyPercentiles;
  /** From the send to the first event. */
  readonly engine: LatencyPercentiles;
  readonly objectiveMs: number;
}

/** Events of one VM. */
export interface VmSummary {
  readonly vm: string;
  readonly requests: number;
  readonly leaderChanges: number;
  readonly endpointsAvoided: number;
  /** Number of times that the process was paused. */
  readonly pauses: number;
  readonly linesDropped: number;
}

/** The report of a site. */
export interface SiteReport {
  readonly windowMs: number;
  /** Time of the first line. */
  readonly startedAt?: string;
  readonly lines: number;
  readonly skipped: number;
  readonly routes: readonly RouteWindow[];
  readonly pools: readonly PoolWindow[];
  readonly times: readonly RouteLatencies[];
  readonly vms: readonly VmSummary[];
  readonly requests: {
    readonly byRoute: readonly RequestGroup[];
    readonly byCustomer: readonly RequestGroup[];
  };
  /** Causes of requests that were not served, the most frequent first. */
  readonly causes: readonly CauseCount[];
  /** Answers that VMs ended after they had begun, the most frequent cause first. */
  readonly truncations: readonly TruncationCount[];
  readonly endpoints: readonly EndpointSummary[];
  readonly slowdowns: readonly SlowdownBand[];
  readonly connections: ConnectionSummary;
}
