/**
 * Formats a report as one self-contained HTML page with plots.
 *
 * @module
 */
import * as echarts from "echarts";
import { buildReportTables, type ReportTable } from "./report_text.ts";
import type { PoolWindow, RouteWindow, SiteReport } from "./site_report.ts";

/** Size of a plot, in pixels. */
const PLOT_SIZE_PX = { width: 560, height: 260 } as const;
const BYTES_PER_MB = 1_000_000;
/** Outcomes from best to worst, with their colours. */
const OUTCOME_COLORS = [
  ["inTime", "#2b8a3e"],
  ["late", "#f2c14e"],
  ["refused", "#e8710a"],
  ["failed", "#c92a2a"],
  ["left", "#868e96"],
] as const;

/** A line or an area of a plot. */
interface PlotSeries {
  readonly name: string;
  readonly values: readonly number[];
  readonly color?: string;
}

interface PlotOptions {
  readonly title: string;
  readonly seconds: readonly number[];
  readonly series: readonly PlotSeries[];
  readonly isStacked: boolean;
}

/**
 * Formats a report as HTML: plots of each route's outcomes and of each pool's calls
 * and free memory, then the tables.
 *
 * @param report The report.
 * @returns The whole page, with the plots as inline SVG.
 */
export function formatReportPage(report: SiteReport): string {
  const plots = [
    ...groupBy(report.routes, (window) => window.route)
      .sort((a, b) => countRequests(b) - countRequests(a)).map(plotRoute),
    ...groupBy(report.pools, (window) => window.service).flatMap(plotPool),
  ];
  const tables = buildReportTables(report).map(formatTable);
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    "<title>sardinestep report</title>",
    `<style>${STYLE}</style></head><body>`,
    "<h1>Site report</h1>",
    `<p>${report.lines} lines, ${report.skipped} without an event; from ${
      escapeHtml(report.startedAt ?? "no line")
    }; windows of ${report.windowMs} ms.</p>`,
    `<div class="plots">${plots.join("\n")}</div>`,
    ...tables,
    "</body></html>",
    "",
  ].join("\n");
}

const STYLE = "body{font:14px sans-serif;margin:2em;color:#222}" +
  ".plots{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}" +
  "table{border-collapse:collapse;margin:1em 0}" +
  "td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}" +
  "td{font-variant-numeric:tabular-nums}";

/** Counts requests, to list the busiest routes first. */
function countRequests(windows: readonly RouteWindow[]): number {
  return windows.reduce((sum, window) => sum + window.asked, 0);
}

function plotRoute(windows: readonly RouteWindow[]): string {
  return formatPlot({
    title: `Route ${windows[0]!.route}: requests by outcome`,
    seconds: windows.map((window) => window.atMs / 1_000),
    series: OUTCOME_COLORS.map(([name, color]) => ({
      name,
      color,
      values: windows.map((window) => window[name]),
    })),
    isStacked: true,
  });
}

function plotPool(windows: readonly PoolWindow[]): string[] {
  const { service } = windows[0]!;
  const seconds = windows.map((window) => window.atMs / 1_000);
  const getMb = (bytes: number) => Math.round(100 * bytes / BYTES_PER_MB) / 100;
  return [
    formatPlot({
      title: `Pool ${service}: endpoints, calls at a time, groups that wait`,
      seconds,
      series: [
        {
          name: "endpoints",
          values: windows.map((window) => window.endpoints),
        },
        { name: "busy", values: windows.map((window) => round(window.busy)) },
        {
          name: "waiting",
          values: windows.map((window) => round(window.waiting)),
        },
        {
          name: "fill x 10",
          values: windows.map((window) => round(10 * window.fill)),
        },
      ],
      isStacked: false,
    }),
    formatPlot({
      title:
        `Pool ${service}: free and promised memory at a called endpoint, in MB`,
      seconds,
      series: [
        {
          name: "free",
          values: windows.map((window) => getMb(window.freeBytes)),
        },
        {
          name: "promised",
          values: windows.map((window) => getMb(window.promisedBytes)),
        },
      ],
      isStacked: false,
    }),
  ];
}

/** Renders on the server side: echarts returns SVG text and needs no DOM. */
function formatPlot(options: PlotOptions): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    ...PLOT_SIZE_PX,
  });
  chart.setOption({
    animation: false,
    title: { text: options.title, textStyle: { fontSize: 13 } },
    legend: { bottom: 0 },
    grid: { left: 40, right: 16, top: 36, bottom: 56 },
    xAxis: { type: "category", data: [...options.seconds], name: "s" },
    yAxis: { type: "value" },
    series: options.series.map(({ name, values, color }) => ({
      name,
      type: options.isStacked ? "bar" : "line",
      stack: options.isStacked ? "all" : undefined,
      showSymbol: false,
      color,
      data: [...values],
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return `<figure>${svg}</figure>`;
}

function formatTable({ title, header, rows }: ReportTable): string {
  const head = header.map((cell) => `<th>${escapeHtml(cell)}</th>`).join("");
  const body = rows
    .map((row) => row.map((cell) => `<td>${escapeHtml(cell)}</td>`).join(""))
    .map((cells) => `<tr>${cells}</tr>`).join("\n");
  return `<h2>${
    escapeHtml(title)
  }</h2>\n<table><tr>${head}</tr>\n${body}</table>`;
}

function groupBy<T>(values: readonly T[], getKey: (value: T) => string): T[][] {
  const keys = [...new Set(values.map(getKey))];
  return keys.map((key) => values.filter((value) => getKey(value) === key));
}

/** Escapes text from logs, which may contain markup. */
function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
