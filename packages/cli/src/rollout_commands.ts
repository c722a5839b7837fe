/**
 * `sardinestep rollout`: the steps of a service's roll-outs, from the log files of
 * its gateways.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as siteReport from "@sardinestep/report";
import { createFailureReport, formatTable, type Report } from "./report.ts";

/** Input of {@link explainRollout}. */
export interface ExplainRolloutOptions {
  readonly service: string;
  /** Log files of any gateways. */
  readonly files: readonly string[];
}

/** Log events of roll-outs. */
const EVENTS = new Set([
  "rollout_ordered",
  "rollout_changed",
  "rollout_reported",
]);

/** One step of a roll-out order, over all VMs that took it. */
interface StepRow {
  readonly position: number;
  readonly target: string;
  readonly step: string;
  readonly vms: number;
  /** Line of the VM that took the step after the shortest time since the order. */
  readonly first: siteReport.LogLine;
}

/**
 * Lists the steps of each roll-out order: the VM that took each step first, the
 * number of VMs that took it, and the reason.
 *
 * @param options The service and the files to counts.
 * @returns A table as text, the steps as JSON data.
 */
export async function explainRollout(
  { service, files }: ExplainRolloutOptions,
): Promise<Report> {
  if (files.length === 0) return buildFailure("USAGE", "No log file given");
  const lines: siteReport.LogLine[] = [];
  for (const file of files) {
    const counts = await siteReport.readLogFile(file, (line) => {
      if (EVENTS.has(line.event) && line.service === service) lines.push(line);
    });
    if (counts.isErr()) return buildFailure("USAGE", counts.error);
  }
  if (lines.length === 0) {
    return buildFailure(
      "NOT_FOUND",
      `No log line mentions a roll-out order for service "${service}"`,
    );
  }
  const steps = buildSteps(lines);
  return {
    kind: "done",
    lines: formatTable(
      ["ORDER", "TARGET", "AFTER", "STEP", "VMS", "FIRST", "WHY"],
      steps.map(formatStepRow),
    ),
    data: { service, steps },
  };
}

function buildSteps(lines: readonly siteReport.LogLine[]): StepRow[] {
  const groups = new Map<string, siteReport.LogLine[]>();
  for (const line of lines) {
    const key = `${line.position}\0${formatStepName(line)}`;
    groups.set(key, [...groups.get(key) ?? [], line]);
  }
  return [...groups.values()].map((group) => {
    const first = group.reduce((a, b) => compareLines(a, b) <= 0 ? a : b);
    return {
      position: Number(first.position),
      target: String(first.target),
      step: formatStepName(first),
      vms: new Set(group.map((line) => line.vm)).size,
      first,
    };
  }).sort((a, b) => a.position - b.position || compareLines(a.first, b.first));
}

function formatStepName(line: siteReport.LogLine): string {
  if (line.event === "rollout_ordered") return "ordered";
  if (line.event === "rollout_reported") {
    return `report ${line.state}: ${line.result}`;
  }
  return line.state === undefined
    ? String(line.phase)
    : `${line.phase}: ${line.state}`;
}

/** Compares the time since the order as each VM measured it, because the wall
 * clocks of VMs differ. */
function compareLines(a: siteReport.LogLine, b: siteReport.LogLine): number {
  return getElapsedMs(a) - getElapsedMs(b);
}

/** The line of the order itself has no elapsed time: it counts as 0. */
function getElapsedMs({ elapsedMs }: siteReport.LogLine): number {
  return typeof elapsedMs === "number" ? elapsedMs : 0;
}

function formatStepRow(
  { position, target, step, vms, first }: StepRow,
): string[] {
  const { reason, answers } = first;
  const reasons = [reason, answers].filter((part) => part !== undefined);
  return [
    String(position),
    target,
    `${getElapsedMs(first)} ms`,
    step,
    String(vms),
    first.vm,
    reasons.join("; "),
  ];
}

function buildFailure(code: codes.CodeName, message: string): Report {
  return createFailureReport(codes.createFailure(code, message));
}
