/**
 * `sardinestep explain`: the log lines of one request in order, from the log files
 * of several processes.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { readFileSync } from "node:fs";
import { type LogLine, parseLogLine } from "@sardinestep/report";
import { createFailureReport, type Report } from "./report.ts";

/** A line and its time by the clock of the VM that received the request. */
interface AlignedLine {
  readonly line: LogLine;
  readonly atMs: number;
}

interface ReadLines {
  readonly lines: readonly LogLine[];
  /** Lines that hold no event, such as truncated ones. */
  readonly skipped: number;
}

/** Time before and after a request in which other events are shown, in ms. */
const EVENT_MARGIN_MS = 2_000;
/** Events of the paths to endpoints; others of endpoints begin with `endpoint_`. */
const PATH_EVENTS = new Set(["path_lost", "path_found"]);
/** Events of a VM that may end or delay its requests. */
const VM_EVENTS = new Set([
  "clock_paused",
  "configuration_applied",
  "fault_met",
  "settings_reloaded",
]);
/** Events of all VMs: one that stops may relay connections of another. */
const PROCESS_EVENTS = new Set([
  "process_started",
  "process_stopping",
  "process_stopped",
]);
/** Fields of every line, which are printed as columns or not at all. */
const COMMON_FIELDS = new Set([
  "time",
  "process",
  "vm",
  "sequence",
  "event",
  "requestId",
]);

/**
 * Explains what happened to a request.
 *
 * @param requestId The request id that the caller sent.
 * @param files Log files of one or more processes.
 * @returns The request's lines in order, with events of its endpoints and VMs such as
 * health changes and stops.
 */
export function explainRequest(
  requestId: string,
  files: readonly string[],
): Report {
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(readFileSync(file, "utf8"));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return createFailureReport(
        codes.createFailure("USAGE", `Cannot read log "${file}": ${reason}`),
      );
    }
  }
  return explainLines(requestId, texts.join("\n"));
}

/** Explains what happened to a request, from the text of log files. */
export function explainLines(requestId: string, text: string): Report {
  const { lines, skipped } = parseLines(text);
  const requestLines = lines.filter((line) => isOfRequest(line, requestId));
  if (requestLines.length === 0) {
    return createFailureReport(
      codes.createFailure(
        "NOT_FOUND",
        `No log line mentions request "${requestId}"`,
      ),
      { data: { skipped } },
    );
  }
  const aligned = alignLines(requestLines);
  const all = [...aligned, ...findOtherEvents(lines, requestLines)]
    .sort(compareAlignedLines);
  const startMs = aligned[0]!.atMs;
  return {
    kind: "done",
    lines: [
      ...all.map((alignedLine) => formatLine(alignedLine, startMs)),
      ...(skipped > 0 ? [`${skipped} line(s) hold no event`] : []),
    ],
    data: {
      requestId,
      skipped,
      lines: all.map((alignedLine) => alignedLine.line),
    },
  };
}

function parseLines(text: string): ReadLines {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const row of text.split("\n")) {
    if (row.trim() === "") continue;
    const line = parseLogLine(row);
    if (line === undefined) skipped += 1;
    else lines.push(line);
  }
  return { lines, skipped };
}

function isOfRequest(line: LogLine, requestId: string): boolean {
  if (line.requestId === requestId) return true;
  if (!Array.isArray(line.requests)) return false;
  return line.requests.some((entry) =>
    entry === requestId || entry?.requestId === requestId
  );
}

/**
 * Aligns the lines of several VMs on one clock and sorts them.
 *
 * The clocks of VMs differ. A leader works on a request after the receiving VM has
 * sent it and before that VM has the answer, so a leader's lines outside of this
 * interval are shifted by the smallest amount that puts them inside.
 */
function alignLines(requestLines: readonly LogLine[]): AlignedLine[] {
  const receivingVm =
    requestLines.find((line) => line.requestId !== undefined)?.vm ??
      requestLines[0]!.vm;
  const receivingVmTimes = requestLines.filter((line) =>
    line.vm === receivingVm
  ).map(getWallMs);
  const earliest = Math.min(...receivingVmTimes);
  const latest = Math.max(...receivingVmTimes);
  return requestLines.map((line) => {
    const times = requestLines.filter((other) => other.vm === line.vm).map(
      getWallMs,
    );
    const first = Math.min(...times);
    const last = Math.max(...times);
    const shiftMs = line.vm === receivingVm
      ? 0
      : Math.max(earliest - first, 0) || Math.min(latest - last, 0);
    return { line, atMs: getWallMs(line) + shiftMs };
  }).sort(compareAlignedLines);
}

/** Finds events of endpoints and VMs that may have affected the request. */
function findOtherEvents(
  lines: readonly LogLine[],
  requestLines: readonly LogLine[],
): AlignedLine[] {
  const shown = new Set(requestLines);
  const endpoints = new Set(requestLines.map((line) => line.endpointId));
  const vms = new Set(requestLines.map((line) => line.vm));
  const times = requestLines.map(getWallMs);
  const from = Math.min(...times) - EVENT_MARGIN_MS;
  const until = Math.max(...times) + EVENT_MARGIN_MS;
  return lines
    .filter((line) => {
      if (shown.has(line)) return false;
      if (PROCESS_EVENTS.has(line.event)) return true;
      if (!vms.has(line.vm)) return false;
      if (VM_EVENTS.has(line.event)) return true;
      const isOfEndpoint = line.event.startsWith("endpoint_") ||
        PATH_EVENTS.has(line.event);
      return isOfEndpoint && line.endpointId !== undefined &&
        endpoints.has(line.endpointId);
    })
    .map((line) => ({ line, atMs: getWallMs(line) }))
    .filter(({ atMs }) => atMs >= from && atMs <= until);
}

function getWallMs(line: LogLine): number {
  return Date.parse(line.time);
}

function compareAlignedLines(a: AlignedLine, b: AlignedLine): number {
  if (a.line.vm === b.line.vm) return a.line.sequence - b.line.sequence;
  return a.atMs - b.atMs || a.line.sequence - b.line.sequence;
}

function formatLine({ line, atMs }: AlignedLine, startMs: number): string {
  const offset = `${Math.round(atMs - startMs)} ms`.padStart(9);
  const fields = Object.entries(line)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const head = `${offset}  ${line.vm}  ${line.event}`;
  return fields.length === 0 ? head : `${head}  ${fields.join(" ")}`;
}
