/**
 * What pools did, by window.
 *
 * @module
 */
import type { LogLine } from "./log_lines.ts";
import { type PoolWindow, WINDOW_MS } from "./site_report.ts";

interface Counts {
  readonly service: string;
  readonly window: number;
  calls: number;
  pieces: number;
  places: number;
  readonly endpoints: Set<string>;
  busyMs: number;
  waiting: number;
  freeBytes: number;
  promisedBytes: number;
  readonly problems: Record<string, number>;
}

/** Counts calls of pools. */
export class PoolTally {
  readonly #counts = new Map<string, Counts>();

  /** Takes one line. */
  add(line: LogLine, window: number): void {
    if (line.event === "call_started") {
      this.#addStart(this.#getCounts(line, window), line);
    }
    if (line.event === "call_ended") {
      this.#addEnd(this.#getCounts(line, window), line);
    }
  }

  /** Gives the windows of all pools. */
  getWindows(getTime: (window: number) => number): PoolWindow[] {
    return [...this.#counts.values()].map((one) => {
      const calls = Math.max(1, one.calls);
      return {
        service: one.service,
        atMs: getTime(one.window),
        calls: one.calls,
        pieces: one.pieces,
        fill: one.places === 0 ? 0 : one.pieces / one.places,
        endpoints: one.endpoints.size,
        busy: one.busyMs / WINDOW_MS,
        waiting: one.waiting / calls,
        freeBytes: one.freeBytes / calls,
        promisedBytes: one.promisedBytes / calls,
        problems: one.problems,
      };
    }).sort((a, b) => a.service.localeCompare(b.service) || a.atMs - b.atMs);
  }

  #addStart(counts: Counts, line: LogLine): void {
    counts.calls += 1;
    counts.pieces += Number(line.pieces ?? 0);
    counts.places += Number(line.batchSize ?? 0);
    counts.endpoints.add(String(line.endpointId));
    counts.waiting += Number(line.waiting ?? 0);
    counts.freeBytes += Number(line.freeBytes ?? 0);
    counts.promisedBytes += Number(line.promisedBytes ?? 0);
  }

  /** A call counts as busy in the window in which it ends. */
  #addEnd(counts: Counts, line: LogLine): void {
    counts.busyMs += Number(line.tookMs ?? 0);
    if (line.result !== "done") addProblem(counts, `call ${line.result}`, 1);
    const answers = Object.entries(line.answers ?? {});
    for (const [kind, count] of answers) {
      if (kind !== "made") addProblem(counts, kind, Number(count));
    }
  }

  #getCounts(line: LogLine, window: number): Counts {
    const service = String(line.service);
    const key = `${service}\0${window}`;
    const known = this.#counts.get(key) ?? {
      service,
      window,
      calls: 0,
      pieces: 0,
      places: 0,
      endpoints: new Set<string>(),
      busyMs: 0,
      waiting: 0,
      freeBytes: 0,
      promisedBytes: 0,
      problems: {},
    };
    this.#counts.set(key, known);
    return known;
  }
}

function addProblem({ problems }: Counts, name: string, count: number): void {
  problems[name] = (problems[name] ?? 0) + count;
}
