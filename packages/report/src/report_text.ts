/**
 * A report as text.
 *
 * @module
 */
import type { PoolWindow, RouteWindow, SiteReport } from "./site_report.ts";

/** A table: names of columns, and rows of cells. */
export interface ReportTable {
  readonly title: string;
  readonly header: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const BYTES_PER_MB = 1_000_000;
/** Reasons that are told of a route. */
const TOP_REASONS = 3;

/**
 * Gives a report as tables for people.
 *
 * @param report What was built.
 * @returns Routes over the whole time, routes and pools by window, times and VMs.
 */
export function buildReportTables(report: SiteReport): ReportTable[] {
  return [
    buildRouteTotals(report.routes),
    {
      title: "Routes by window",
      header: [
        "ROUTE",
        "SECOND",
        ...OUTCOMES.map((name) => name.toUpperCase()),
      ],
      rows: report.routes.map((one) => [
        one.route,
        formatSecond(one.atMs),
        ...OUTCOMES.map((name) => String(one[name])),
      ]),
    },
    {
      title: "Pools by window",
      header: [
        "POOL",
        "SECOND",
        "CALLS",
        "FILL",
        "ENDPOINTS",
        "BUSY",
        "WAITING",
        "FREE MB",
        "PROMISED MB",
        "PROBLEMS",
      ],
      rows: report.pools.map(formatPool),
    },
    {
      title: "Where the time of streams went, in ms (median, ninth decile)",
      header: ["ROUTE", "STREAMS", "STAGES", "ENGINE", "OBJECTIVE"],
      rows: report.times.map(({ route, stages, engine, objectiveMs }) => [
        route,
        String(stages.count),
        `${stages.p50} ${stages.p90}`,
        `${engine.p50} ${engine.p90}`,
        String(objectiveMs),
      ]),
    },
    {
      title: "VMs",
      header: ["VM", "REQUESTS", "LEADERS", "AVOIDED", "PAUSES", "DROPPED"],
      rows: report.vms.map((one) => [
        one.vm,
        String(one.requests),
        String(one.leaderChanges),
        String(one.endpointsAvoided),
        String(one.pauses),
        String(one.linesDropped),
      ]),
    },
  ];
}

const OUTCOMES = [
  "asked",
  "returned",
  "inTime",
  "late",
  "refused",
  "failed",
  "left",
] as const;

function buildRouteTotals(windows: readonly RouteWindow[]): ReportTable {
  const routes = [...new Set(windows.map((one) => one.route))];
  return {
    title: "Routes",
    header: [
      "ROUTE",
      ...OUTCOMES.map((name) => name.toUpperCase()),
      "MOST FREQUENT REASONS",
    ],
    rows: routes.map((route) => {
      const own = windows.filter((one) => one.route === route);
      return [
        route,
        ...OUTCOMES.map((name) => String(sum(own.map((one) => one[name])))),
        formatReasons(own),
      ];
    }),
  };
}

function formatReasons(windows: readonly RouteWindow[]): string {
  const totals = new Map<string, number>();
  for (const { reasons } of windows) {
    for (const [reason, count] of Object.entries(reasons)) {
      totals.set(reason, (totals.get(reason) ?? 0) + count);
    }
  }
  return [...totals].sort((a, b) => b[1] - a[1]).slice(0, TOP_REASONS)
    .map(([reason, count]) => `${count} ${reason}`).join("; ");
}

function formatPool(one: PoolWindow): string[] {
  return [
    one.service,
    formatSecond(one.atMs),
    String(one.calls),
    one.fill.toFixed(2),
    String(one.endpoints),
    one.busy.toFixed(1),
    one.waiting.toFixed(1),
    (one.freeBytes / BYTES_PER_MB).toFixed(2),
    (one.promisedBytes / BYTES_PER_MB).toFixed(2),
    Object.entries(one.problems).map(([name, count]) => `${count} ${name}`)
      .join(", "),
  ];
}

function formatSecond(atMs: number): string {
  return String(atMs / 1_000);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, one) => total + one, 0);
}
