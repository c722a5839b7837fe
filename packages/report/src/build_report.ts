/**
 * Builds a report incrementally from log lines.
 *
 * @module
 */
import * as hdr from "hdr-histogram-js";
import { ConnectionStatistics } from "./connection_statistics.ts";
import { EndpointStatistics } from "./endpoint_statistics.ts";
import type { LogLine, ReadCounts } from "./log_lines.ts";
import { PoolStatistics } from "./pool_statistics.ts";
import { CauseStatistics, RequestStatistics } from "./request_statistics.ts";
import { type RequestEnd, RequestTracker } from "./request_tracker.ts";
import { RouteStatistics } from "./route_statistics.ts";
import {
  type LatencyPercentiles,
  type SiteReport,
  type VmSummary,
  WINDOW_MS,
} from "./site_report.ts";
import { TruncationStatistics } from "./truncation_statistics.ts";

interface VmCounts {
  requests: number;
  leaderChanges: number;
  endpointsAvoided: number;
  pauses: number;
  linesDropped: number;
}

/**
 * Accumulates log lines of several files, in any order of the files. Only open
 * requests are kept, so memory grows with windows and routes, not with lines.
 *
 * @example
 * ```ts
 * const builder = new ReportBuilder();
 * for (const line of lines) builder.add(line);
 * console.log(builder.build({ lines: lines.length, skipped: 0 }));
 * ```
 */
export class ReportBuilder {
  readonly #routes = new RouteStatistics();
  readonly #pools = new PoolStatistics();
  readonly #vms = new Map<string, VmCounts>();
  readonly #byRoute = new RequestStatistics();
  readonly #byCustomer = new RequestStatistics();
  readonly #causes = new CauseStatistics();
  readonly #endpoints = new EndpointStatistics();
  readonly #connections = new ConnectionStatistics();
  readonly #truncations = new TruncationStatistics();
  readonly #tracker = new RequestTracker({
    handleArrival: (request) => {
      this.#byRoute.addArrival(request.route, request);
      this.#byCustomer.addArrival(request.customer, request);
    },
    handleEnd: (request, end, line) => {
      this.#byRoute.addEnd(request.route, request, end);
      this.#byCustomer.addEnd(request.customer, request, end);
      this.#causes.addEnd(end);
      if (isServed(end)) this.#connections.addServed(line);
    },
    handleCause: (cause) => this.#causes.addRefusalCause(cause),
    handleSend: (request, send) => this.#endpoints.addSend(request, send),
    handleFirstEvent: (request, send, tookMs) =>
      this.#endpoints.addFirstEvent(request, send, tookMs),
  });
  #startMs = Infinity;

  /** Adds one line. */
  add(line: LogLine): void {
    const timeMs = Date.parse(line.time);
    this.#startMs = Math.min(this.#startMs, timeMs);
    const window = Math.floor(timeMs / WINDOW_MS);
    this.#routes.add(line, window);
    this.#pools.add(line, window);
    this.#tracker.add(line);
    this.#connections.add(line);
    this.#truncations.add(line);
    this.#countVm(line);
  }

  /** Returns the report of all added lines. */
  build(counts: ReadCounts): SiteReport {
    const byRoute = this.#byRoute.getGroups();
    const unended = byRoute.reduce((sum, { all }) => sum + all.unended, 0);
    const hasLines = Number.isFinite(this.#startMs);
    const firstWindow = Math.floor(this.#startMs / WINDOW_MS);
    const getStartMs = (window: number) => (window - firstWindow) * WINDOW_MS;
    return {
      windowMs: WINDOW_MS,
      startedAt: hasLines ? new Date(this.#startMs).toISOString() : undefined,
      lines: counts.lines,
      skipped: counts.skipped,
      routes: this.#routes.getWindows(getStartMs),
      pools: this.#pools.getWindows(getStartMs),
      times: this.#routes.getLatencies(buildPercentiles),
      vms: [...this.#vms]
        .map(([vm, vmCounts]): VmSummary => ({ vm, ...vmCounts }))
        .sort((a, b) => a.vm.localeCompare(b.vm)),
      requests: { byRoute, byCustomer: this.#byCustomer.getGroups() },
      causes: this.#causes.getCauses(unended),
      truncations: this.#truncations.getCounts(),
      endpoints: this.#endpoints.getEndpoints(),
      slowdowns: this.#endpoints.getBands(),
      connections: this.#connections.getSummary(),
    };
  }

  #countVm(line: LogLine): void {
    const counts = this.#vms.get(line.vm) ?? {
      requests: 0,
      leaderChanges: 0,
      endpointsAvoided: 0,
      pauses: 0,
      linesDropped: 0,
    };
    this.#vms.set(line.vm, counts);
    if (line.event === "request_admitted") counts.requests += 1;
    if (line.event === "leader_changed") counts.leaderChanges += 1;
    if (line.event === "endpoint_avoided") counts.endpointsAvoided += 1;
    if (line.event === "clock_paused") counts.pauses += 1;
    if (line.event === "lines_dropped") {
      counts.linesDropped += Number(line.count ?? 0);
    }
  }
}

function isServed({ kind }: RequestEnd): boolean {
  return kind === "inTime" || kind === "late" || kind === "servedUnknown";
}

function buildPercentiles(histogram: hdr.Histogram): LatencyPercentiles {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
  };
}
