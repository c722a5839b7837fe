/**
 * Builds a report from log lines, one after the other.
 *
 * @module
 */
import * as hdr from "hdr-histogram-js";
import type { LogLine, ReadCounts } from "./log_lines.ts";
import { PoolTally } from "./pool_tally.ts";
import { RouteTally } from "./route_tally.ts";
import {
  type SiteReport,
  type TimeSpread,
  type VmSummary,
  WINDOW_MS,
} from "./site_report.ts";

interface VmCounts {
  requests: number;
  leaderChanges: number;
  endpointsAvoided: number;
  pauses: number;
  linesDropped: number;
}

/**
 * Takes lines in any order of files and tells what they show. Only what is not
 * over yet is kept, so memory grows with windows and routes, not with lines.
 *
 * @example
 * ```ts
 * const builder = new ReportBuilder();
 * for (const line of lines) builder.add(line);
 * console.log(builder.build({ lines: lines.length, skipped: 0 }));
 * ```
 */
export class ReportBuilder {
  readonly #routes = new RouteTally();
  readonly #pools = new PoolTally();
  readonly #vms = new Map<string, VmCounts>();
  #startMs = Infinity;

  /** Takes one line. */
  add(line: LogLine): void {
    const timeMs = Date.parse(line.time);
    this.#startMs = Math.min(this.#startMs, timeMs);
    const window = Math.floor(timeMs / WINDOW_MS);
    this.#routes.add(line, window);
    this.#pools.add(line, window);
    this.#countVm(line);
  }

  /** Gives the report of everything that was added. */
  build(counts: ReadCounts): SiteReport {
    const hasLines = Number.isFinite(this.#startMs);
    const first = Math.floor(this.#startMs / WINDOW_MS);
    const getTime = (window: number) => (window - first) * WINDOW_MS;
    return {
      windowMs: WINDOW_MS,
      startedAt: hasLines ? new Date(this.#startMs).toISOString() : undefined,
      lines: counts.lines,
      skipped: counts.skipped,
      routes: this.#routes.getWindows(getTime),
      pools: this.#pools.getWindows(getTime),
      times: this.#routes.getTimes(buildSpread),
      vms: [...this.#vms]
        .map(([vm, one]): VmSummary => ({ vm, ...one }))
        .sort((a, b) => a.vm.localeCompare(b.vm)),
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

function buildSpread(histogram: hdr.Histogram): TimeSpread {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
  };
}
