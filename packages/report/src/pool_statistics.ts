/**
 * Statistics of pools, by window.
 *
 * @module
 */
import type { LogLine } from "./log_lines.ts";
import { type PoolWindow, WINDOW_MS } from "./site_report.ts";

interface PoolCounts {
  readonly service: string;
  readonly window: number;
  calls: number;
  pieces: number;
  batchSlots: number;
  readonly endpoints: Set<string>;
  busyMs: number;
  waiting: number;
  freeBytes: number;
  promisedBytes: number;
  readonly problems: Record<string, number>;
}

/** Accumulates the calls of pools by window. */
export class PoolStatistics {
  readonly #counts = new Map<string, PoolCounts>();

  /** Adds one line. */
  add(line: LogLine, window: number): void {
    if (line.event === "call_started") {
      this.#addCallStart(this.#getCounts(line, window), line);
    }
    if (line.event === "call_ended") {
      this.#addCallEnd(this.#getCounts(line, window), line);
    }
  }

  /** Returns the windows of all pools. */
  getWindows(getStartMs: (window: number) => number): PoolWindow[] {
    return [...this.#counts.values()].map((counts) => {
      const calls = Math.max(1, counts.calls);
      return {
        service: counts.service,
        atMs: getStartMs(counts.window),
        calls: counts.calls,
        pieces: counts.pieces,
        fill: counts.batchSlots === 0 ? 0 : counts.pieces / counts.batchSlots,
        endpoints: counts.endpoints.size,
        busy: counts.busyMs / WINDOW_MS,
        waiting: counts.waiting / calls,
        freeBytes: counts.freeBytes / calls,
        promisedBytes: counts.promisedBytes / calls,
        problems: counts.problems,
      };
    }).sort((a, b) => a.service.localeCompare(b.service) || a.atMs - b.atMs);
  }

  #addCallStart(counts: PoolCounts, line: LogLine): void {
    counts.calls += 1;
    counts.pieces += Number(line.pieces ?? 0);
    counts.batchSlots += Number(line.batchSize ?? 0);
    counts.endpoints.add(String(line.endpointId));
    counts.waiting += Number(line.waiting ?? 0);
    counts.freeBytes += Number(line.freeBytes ?? 0);
    counts.promisedBytes += Number(line.promisedBytes ?? 0);
  }

  /** The whole duration of a call counts in the window in which it ends. */
  #addCallEnd(counts: PoolCounts, line: LogLine): void {
    counts.busyMs += Number(line.tookMs ?? 0);
    if (line.result !== "done") addProblem(counts, `call ${line.result}`, 1);
    const answers = Object.entries(line.answers ?? {});
    for (const [kind, count] of answers) {
      if (kind !== "made") addProblem(counts, kind, Number(count));
    }
  }

  #getCounts(line: LogLine, window: number): PoolCounts {
    const service = String(line.service);
    const key = `${service}\0${window}`;
    const counts = this.#counts.get(key) ?? {
      service,
      window,
      calls: 0,
      pieces: 0,
      batchSlots: 0,
      endpoints: new Set<string>(),
      busyMs: 0,
      waiting: 0,
      freeBytes: 0,
      promisedBytes: 0,
      problems: {},
    };
    this.#counts.set(key, counts);
    return counts;
  }
}

function addProblem(
  { problems }: PoolCounts,
  name: string,
  count: number,
): void {
  problems[name] = (problems[name] ?? 0) + count;
}
