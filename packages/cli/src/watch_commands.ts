/**
 * `sardinestep endpoints|status|timeline`: the state that processes report.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import * as timeline from "@sardinestep/timeline";
import type { Context } from "./context.ts";
import {
  callAnyControl,
  callEveryProcess,
  formatUnanswered,
} from "./controls.ts";
import { formatTable, type Report } from "./report.ts";

/** Which endpoints to list; undefined means all. */
export interface EndpointFilter {
  readonly zone?: string;
  readonly service?: string;
}

/**
 * Lists endpoints with their latest load reports.
 *
 * @param context RPC client and settings.
 * @param filter Which endpoints to list.
 * @returns The endpoints by service, zone and id.
 */
export async function readEndpoints(
  context: Context,
  filter: EndpointFilter,
): Promise<Report> {
  const answer = await callAnyControl(context, "endpoints", {});
  if (answer.isErr()) return answer.error;
  const endpoints = answer.value
    .filter(({ facts }) => !filter.zone || facts.zone === filter.zone)
    .filter(({ facts }) => !filter.service || facts.service === filter.service)
    .sort(compareEndpoints);
  return {
    kind: "done",
    lines: formatTable(
      [
        "ENDPOINT",
        "SERVICE",
        "ROLE",
        "ZONE",
        "STATE",
        "RUNNING",
        "WAITING",
        "COLD/WARM",
        "ADDRESS",
      ],
      endpoints.map(formatEndpoint),
    ),
    data: { endpoints },
  };
}

function compareEndpoints(
  left: rpc.EndpointStatus,
  right: rpc.EndpointStatus,
): number {
  return compareText(buildSortKey(left), buildSortKey(right));
}

function buildSortKey({ facts }: rpc.EndpointStatus): string {
  return [facts.service, facts.zone, facts.endpointId].join("\n");
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

function formatEndpoint({ facts, load }: rpc.EndpointStatus): string[] {
  return [
    facts.endpointId,
    facts.service,
    facts.role,
    facts.zone,
    facts.state,
    load ? String(load.running) : "-",
    load ? String(load.waiting) : "-",
    `${facts.coldConcurrency}/${facts.warmConcurrency}`,
    facts.address,
  ];
}

/**
 * Reads the status of every process.
 *
 * @param context RPC client and settings.
 * @returns One row for each process, then differing versions and missing answers.
 */
export async function readStatus(context: Context): Promise<Report> {
  const collected = await callEveryProcess(context, "status", {});
  if (collected.isErr()) return collected.error;
  const { unanswered } = collected.value;
  const processes = [...collected.value.answers].sort((left, right) =>
    compareText(
      `${left.vmId}\n${left.process}`,
      `${right.vmId}\n${right.process}`,
    )
  );
  return {
    kind: "done",
    lines: [
      ...formatTable(
        ["VM", "ZONE", "SITE", "PROCESS", "STATE", "CONFIG", "LOG", "SINCE"],
        processes.map(formatProcess),
      ),
      ...formatVersionDifference(processes),
      ...formatUnanswered(unanswered),
    ],
    data: { processes, noAnswer: unanswered },
  };
}

function formatProcess(status: rpc.ProcessStatus): string[] {
  return [
    status.vmId,
    status.zone,
    status.site,
    status.process,
    status.state,
    String(status.configVersion),
    formatLog(status.log),
    new Date(status.startedAt).toISOString(),
  ];
}

function formatLog(log: rpc.ProcessStatus["log"]): string {
  if (log === undefined) return "-";
  return log.reachable ? "reachable" : "out of reach";
}

/** Processes that still differ in version after a publish need attention. */
function formatVersionDifference(
  processes: readonly rpc.ProcessStatus[],
): string[] {
  const versions = [...new Set(processes.map((status) => status.configVersion))]
    .sort(
      (left, right) => left - right,
    );
  if (versions.length < 2) return [];
  const counts = versions.map((version) => {
    const count = processes.filter((status) =>
      status.configVersion === version
    ).length;
    return `version ${version} at ${count}`;
  });
  return [`The processes differ in configuration: ${counts.join(", ")}`];
}

/**
 * Merges the timelines of every process that answers.
 *
 * @param context RPC client and settings.
 * @param filter Which events to list.
 * @returns The events in the order of their hybrid logical clocks, and the calls
 * without an answer.
 */
export async function readTimeline(
  context: Context,
  filter: timeline.TimelineFilter,
): Promise<Report> {
  const collected = await callEveryProcess(context, "timeline", filter);
  if (collected.isErr()) return collected.error;
  const { answers, unanswered } = collected.value;
  const events = timeline.mergeEvents(answers);
  const lines = events.map(timeline.formatEvent);
  const noEventLine = `No event fits; ${answers.length} process(es) were asked`;
  return {
    kind: "done",
    lines: [
      ...(lines.length > 0 ? lines : [noEventLine]),
      ...formatUnanswered(unanswered),
    ],
    data: { events, noAnswer: unanswered },
  };
}
