/**
 * `sardinestep explain`: what became of one request, from the log files of many
 * processes.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import { readFileSync } from "node:fs";
import { type LogLine, parseLogLine } from "@sardinestep/report";
import { createRefusal, type Report } from "./report.ts";

/** A line and when it was written, by the clock of the request's own VM. */
interface PlacedLine {
  readonly line: LogLine;
  readonly atMs: number;
}

interface ReadLines {
  readonly lines: readonly LogLine[];
  /** Lines that hold no event, such as cut ones. */
  readonly skipped: number;
}

/** How long before and after a request changes of belief matter, in ms. */
const AROUND_MS = 2_000;
/** Fields that stand in every line or in the columns before the rest. */
const COMMON_FIELDS = new Set([
  "time",
  "process",
  "vm",
  "sequence",
  "event",
  "requestId",
]);

/**
 * Explains a request.
 *
 * @param requestId Its id, as the caller sent it.
 * @param files Log files of any processes.
 * @returns Its lines in order, with changes of belief about its endpoints.
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
      return createRefusal(
        codes.createFailure("USAGE", `Cannot read log "${file}": ${reason}`),
      );
    }
  }
  return explainLines(requestId, texts.join("\n"));
}

/** Explains a request from the text of logs. */
export function explainLines(requestId: string, text: string): Report {
  const { lines, skipped } = parseLines(text);
  const own = lines.filter((line) => isAbout(line, requestId));
  if (own.length === 0) {
    return createRefusal(
      codes.createFailure(
        "NOT_FOUND",
        `No line speaks of request "${requestId}"`,
      ),
      { data: { skipped } },
    );
  }
  const placed = placeLines(own);
  const around = findAround(lines, own);
  const all = [...placed, ...around].sort(comparePlaced);
  const startMs = placed[0]!.atMs;
  return {
    kind: "done",
    lines: [
      ...all.map((one) => formatLine(one, startMs)),
      ...(skipped > 0 ? [`${skipped} line(s) hold no event`] : []),
    ],
    data: { requestId, skipped, lines: all.map((one) => one.line) },
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

function isAbout(line: LogLine, requestId: string): boolean {
  if (line.requestId === requestId) return true;
  return Array.isArray(line.requests) && line.requests.includes(requestId);
}

/**
 * Puts the lines of several VMs in one order.
 *
 * Guards against clocks that differ: a leader works for a request after its VM has
 * sent it and before the VM has its answer, so a leader's lines that lie outside
 * of that are moved by the least that puts them inside.
 */
function placeLines(own: readonly LogLine[]): PlacedLine[] {
  const home = own.find((line) => line.requestId !== undefined)?.vm ??
    own[0]!.vm;
  const homeTimes = own.filter((line) => line.vm === home).map(getWallMs);
  const earliest = Math.min(...homeTimes);
  const latest = Math.max(...homeTimes);
  return own.map((line) => {
    const times = own.filter((one) => one.vm === line.vm).map(getWallMs);
    const first = Math.min(...times);
    const last = Math.max(...times);
    const shiftMs = line.vm === home
      ? 0
      : Math.max(earliest - first, 0) || Math.min(latest - last, 0);
    return { line, atMs: getWallMs(line) + shiftMs };
  }).sort(comparePlaced);
}

/** Changes of belief about endpoints that the request met. */
function findAround(
  lines: readonly LogLine[],
  own: readonly LogLine[],
): PlacedLine[] {
  const endpoints = new Set(own.map((line) => line.endpointId));
  const vms = new Set(own.map((line) => line.vm));
  const times = own.map(getWallMs);
  const from = Math.min(...times) - AROUND_MS;
  const until = Math.max(...times) + AROUND_MS;
  return lines
    .filter((line) =>
      line.event.startsWith("endpoint_") && vms.has(line.vm) &&
      line.endpointId !== undefined && endpoints.has(line.endpointId)
    )
    .map((line) => ({ line, atMs: getWallMs(line) }))
    .filter(({ atMs }) => atMs >= from && atMs <= until);
}

function getWallMs(line: LogLine): number {
  return Date.parse(line.time);
}

function comparePlaced(a: PlacedLine, b: PlacedLine): number {
  if (a.line.vm === b.line.vm) return a.line.sequence - b.line.sequence;
  return a.atMs - b.atMs || a.line.sequence - b.line.sequence;
}

function formatLine({ line, atMs }: PlacedLine, startMs: number): string {
  const offset = `${Math.round(atMs - startMs)} ms`.padStart(9);
  const fields = Object.entries(line)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const head = `${offset}  ${line.vm}  ${line.event}`;
  return fields.length === 0 ? head : `${head}  ${fields.join(" ")}`;
}
