/**
 * A report as one HTML page with plots, which opens alone.
 *
 * @module
 */
import * as echarts from "echarts";
import { buildReportTables, type ReportTable } from "./report_text.ts";
import type { PoolWindow, RouteWindow, SiteReport } from "./site_report.ts";

/** Size of a plot, in pixels. */
const PLOT = { width: 560, height: 260 } as const;
const BYTES_PER_MB = 1_000_000;
/** Outcomes from the best to the worst, and their colours. */
const OUTCOMES = [
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
 * Gives a report as HTML: a plot of each route's outcomes and of each pool's calls
 * and room, then the tables.
 *
 * @param report What was built.
 * @returns The whole page; its plots are SVG in the page itself.
 */
export function formatReportPage(report: SiteReport): string {
  const plots = [
    ...splitBy(report.routes, (one) => one.route)
      .sort((a, b) => countAsked(b) - countAsked(a)).map(plotRoute),
    ...splitBy(report.pools, (one) => one.service).flatMap(plotPool),
  ];
  const tables = buildReportTables(report).map(formatTable);
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    "<title>sardinestep report</title>",
    `<style>${STYLE}</style></head><body>`,
    "<h1>What binds</h1>",
    `<p>${report.lines} lines, ${report.skipped} without event; from ${
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

/** The busiest routes stand first. */
function countAsked(windows: readonly RouteWindow[]): number {
  return windows.reduce((sum, one) => sum + one.asked, 0);
}

function plotRoute(windows: readonly RouteWindow[]): string {
  return plot({
    title: `Route ${windows[0]!.route}: requests by outcome`,
    seconds: windows.map((one) => one.atMs / 1_000),
    series: OUTCOMES.map(([name, color]) => ({
      name,
      color,
      values: windows.map((one) => one[name]),
    })),
    isStacked: true,
  });
}

function plotPool(windows: readonly PoolWindow[]): string[] {
  const { service } = windows[0]!;
  const seconds = windows.map((one) => one.atMs / 1_000);
  const getMb = (bytes: number) => Math.round(100 * bytes / BYTES_PER_MB) / 100;
  return [
    plot({
      title: `Pool ${service}: endpoints, calls at a time, groups that wait`,
      seconds,
      series: [
        { name: "endpoints", values: windows.map((one) => one.endpoints) },
        { name: "busy", values: windows.map((one) => round(one.busy)) },
        { name: "waiting", values: windows.map((one) => round(one.waiting)) },
        {
          name: "fill x 10",
          values: windows.map((one) => round(10 * one.fill)),
        },
      ],
      isStacked: false,
    }),
    plot({
      title: `Pool ${service}: room at a called endpoint, in MB`,
      seconds,
      series: [
        { name: "free", values: windows.map((one) => getMb(one.freeBytes)) },
        {
          name: "promised",
          values: windows.map((one) => getMb(one.promisedBytes)),
        },
      ],
      isStacked: false,
    }),
  ];
}

/** Draws on the server: the library gives SVG text without any document. */
function plot(options: PlotOptions): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    ...PLOT,
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

function splitBy<T>(all: readonly T[], getKey: (one: T) => string): T[][] {
  const keys = [...new Set(all.map(getKey))];
  return keys.map((key) => all.filter((one) => getKey(one) === key));
}

/** Names come from logs; what looks like markup must not become some. */
function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
