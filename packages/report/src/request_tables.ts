/**
 * Tables of the parts of a report that follow single requests.
 *
 * @module
 */
import type {
  EndCounts,
  RequestGroup,
  SlowdownBand,
} from "./request_report.ts";
import { UNKNOWN } from "./request_tracker.ts";
import type { ReportTable } from "./report_text.ts";
import type { SiteReport } from "./site_report.ts";

/** Rows that a table lists at most; a site has up to 32,000 customers. */
const MAX_ROWS = 100;

const END_COLUMNS = [
  ["asked", "ASKED"],
  ["inTime", "IN TIME"],
  ["late", "LATE"],
  ["servedUnknown", "SERVED, TIME UNKNOWN"],
  ["refusedAtOnce", "REFUSED AT ONCE"],
  ["refusedLate", "REFUSED LATE"],
  ["refusedUnknown", "REFUSED, TIME UNKNOWN"],
  ["failed", "FAILED"],
  ["left", "LEFT"],
  ["unended", "END UNKNOWN"],
] as const;

/**
 * Builds the tables of requests, returns, causes, endpoints and connections.
 *
 * @param report The report.
 * @returns Tables in which a value that the lines lack reads `unknown`.
 */
export function buildRequestTables(report: SiteReport): ReportTable[] {
  const { byRoute, byCustomer } = report.requests;
  return [
    buildGroupTable("Requests by route", "ROUTE", byRoute),
    buildGroupTable("Requests by customer", "CUSTOMER", byCustomer),
    buildReturnTable("Returns by route", "ROUTE", byRoute),
    buildReturnTable("Returns by customer", "CUSTOMER", byCustomer),
    limitRows({
      title: "Causes of requests that were not served",
      header: ["KIND", "COUNT", "CAUSE"],
      rows: report.causes.map(({ kind, cause, count }) => [
        kind,
        String(count),
        cause,
      ]),
    }),
    {
      title: "Answers that VMs ended after they had begun",
      header: ["CAUSE", "COUNT", "WHILE STOPPING"],
      rows: report.truncations.map(({ cause, count, whileStopping }) => [
        cause,
        String(count),
        formatNumber(whileStopping, 0),
      ]),
    },
    {
      title: "Endpoints",
      header: [
        "SERVICE",
        "ENDPOINT",
        "REQUESTS",
        "SHARE",
        "SLOWDOWN",
        "FIRST EVENT MS",
      ],
      rows: report.endpoints.map((endpoint) => [
        endpoint.service,
        endpoint.endpointId,
        String(endpoint.requests),
        endpoint.share.toFixed(3),
        formatNumber(endpoint.slowdown, 2),
        formatNumber(endpoint.firstEventMs, 0),
      ]),
    },
    {
      title: "First events by reported slowdown",
      header: ["SERVICE", "SLOWDOWN FROM", "STREAMS", "FIRST EVENT MS"],
      rows: report.slowdowns.map(formatBand),
    },
    {
      title: "Connections to endpoints",
      header: [
        "PROCESSES",
        "PROCESSES UNKNOWN",
        "OPENED",
        "SERVED",
        "OPENED FOR EACH SERVED",
      ],
      rows: [[
        String(report.connections.processes),
        String(report.connections.withoutNumber),
        formatNumber(report.connections.opened, 0),
        // Requests of processes without a number are not counted here.
        report.connections.opened === undefined
          ? UNKNOWN
          : String(report.connections.served),
        formatNumber(report.connections.perServed, 3),
      ]],
    },
  ];
}

function buildGroupTable(
  title: string,
  column: string,
  groups: readonly RequestGroup[],
): ReportTable {
  return limitRows({
    title,
    header: [
      column,
      ...END_COLUMNS.map(([, name]) => name),
      "DEFERRED",
      "DEFERRED, ANSWERED",
      "LANE UNKNOWN",
      "MARGIN MS",
    ],
    rows: groups.map((group) => [
      group.name,
      ...formatEnds(group.all),
      formatNumber(group.deferred?.asked, 0),
      formatNumber(group.deferred && countServed(group.deferred), 0),
      String(group.withoutLane),
      formatNumber(group.meanMarginMs, 0),
    ]),
  });
}

function buildReturnTable(
  title: string,
  column: string,
  groups: readonly RequestGroup[],
): ReportTable {
  return limitRows({
    title,
    header: [
      column,
      ...END_COLUMNS.map(([, name]) => name),
      "WHETHER A RETURN UNKNOWN",
    ],
    rows: groups.map((group) => [
      group.name,
      ...formatEnds(group.returns),
      String(group.withoutReturn),
    ]),
  });
}

function limitRows(table: ReportTable): ReportTable {
  const { title, rows } = table;
  if (rows.length <= MAX_ROWS) return table;
  return {
    ...table,
    title: `${title} (first ${MAX_ROWS} of ${rows.length})`,
    rows: rows.slice(0, MAX_ROWS),
  };
}

function formatBand(band: SlowdownBand): string[] {
  return [
    band.service,
    formatNumber(band.from, 2),
    String(band.streams),
    band.firstEventMs.toFixed(0),
  ];
}

function formatEnds(ends: EndCounts | undefined): string[] {
  return END_COLUMNS.map(([name]) => formatNumber(ends?.[name], 0));
}

function countServed({ inTime, late, servedUnknown }: EndCounts): number {
  return inTime + late + servedUnknown;
}

function formatNumber(value: number | undefined, digits: number): string {
  return value === undefined ? UNKNOWN : value.toFixed(digits);
}
