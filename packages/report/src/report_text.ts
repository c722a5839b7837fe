/**
 * Formats a report as tables of text.
 *
 * @module
 */
import { buildRequestTables } from "./request_tables.ts";
import type { PoolWindow, RouteWindow, SiteReport } from "./site_report.ts";

/** A table with column names and rows of cells. */
export interface ReportTable {
  readonly title: string;
  readonly header: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const BYTES_PER_MB = 1_000_000;
/** Number of reasons that are listed for a route. */
const MAX_LISTED_REASONS = 3;

/**
 * Builds the tables of a report.
 *
 * @param report The report.
 * @returns Tables of route totals, routes and pools by window, latencies and VMs, then
 * those of {@link buildRequestTables}.
 */
export function buildReportTables(report: SiteReport): ReportTable[] {
  return [
    buildRouteTotals(report.routes),
    {
      title: "Routes by window",
      header: [
        "ROUTE",
        "SECOND",
        ...ROUTE_COLUMNS.map((name) => name.toUpperCase()),
      ],
      rows: report.routes.map((window) => [
        window.route,
        formatSecond(window.atMs),
        ...ROUTE_COLUMNS.map((name) => String(window[name])),
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
      rows: report.pools.map(formatPoolRow),
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
      rows: report.vms.map((summary) => [
        summary.vm,
        String(summary.requests),
        String(summary.leaderChanges),
        String(summary.endpointsAvoided),
        String(summary.pauses),
        String(summary.linesDropped),
      ]),
    },
    ...buildRequestTables(report),
  ];
}

const ROUTE_COLUMNS = [
  "asked",
  "returned",
  "inTime",
  "late",
  "refused",
  "failed",
  "left",
] as const;

function buildRouteTotals(windows: readonly RouteWindow[]): ReportTable {
  const routes = [...new Set(windows.map((window) => window.route))];
  return {
    title: "Routes",
    header: [
      "ROUTE",
      ...ROUTE_COLUMNS.map((name) => name.toUpperCase()),
      "MOST FREQUENT REASONS",
    ],
    rows: routes.map((route) => {
      const routeWindows = windows.filter((window) => window.route === route);
      return [
        route,
        ...ROUTE_COLUMNS.map((name) =>
          String(sum(routeWindows.map((window) => window[name])))
        ),
        formatReasons(routeWindows),
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
  return [...totals].sort((a, b) => b[1] - a[1]).slice(0, MAX_LISTED_REASONS)
    .map(([reason, count]) => `${count} ${reason}`).join("; ");
}

function formatPoolRow(window: PoolWindow): string[] {
  return [
    window.service,
    formatSecond(window.atMs),
    String(window.calls),
    window.fill.toFixed(2),
    String(window.endpoints),
    window.busy.toFixed(1),
    window.waiting.toFixed(1),
    (window.freeBytes / BYTES_PER_MB).toFixed(2),
    (window.promisedBytes / BYTES_PER_MB).toFixed(2),
    Object.entries(window.problems).map(([name, count]) => `${count} ${name}`)
      .join(", "),
  ];
}

function formatSecond(atMs: number): string {
  return String(atMs / 1_000);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
