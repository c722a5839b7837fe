/**
 * Connections opened for each served request.
 *
 * @module
 */
import { getNumber, type LogLine } from "./log_lines.ts";
import type { ConnectionSummary } from "./request_report.ts";

interface ProcessCounts {
  served: number;
  opened?: number;
}

/**
 * Accumulates connections and served requests by process. A process that is killed
 * logs no number, so its served requests must not enter the ratio.
 */
export class ConnectionStatistics {
  readonly #processes = new Map<string, ProcessCounts>();

  /** Adds one line. */
  add(line: LogLine): void {
    const counts = this.#getProcess(line);
    if (line.event !== "process_stopped") return;
    counts.opened = getNumber(line, "connections");
  }

  /** Adds a served request by a line of its process. */
  addServed(line: LogLine): void {
    this.#getProcess(line).served += 1;
  }

  /** Returns the numbers of all processes. */
  getSummary(): ConnectionSummary {
    const all = [...this.#processes.values()];
    const known = all.filter(({ opened }) => opened !== undefined);
    const opened = known.reduce((sum, counts) => sum + counts.opened!, 0);
    const served = known.reduce((sum, counts) => sum + counts.served, 0);
    return {
      processes: known.length,
      withoutNumber: all.length - known.length,
      opened: known.length === 0 ? undefined : opened,
      served,
      perServed: served === 0 ? undefined : opened / served,
    };
  }

  #getProcess({ vm, process }: LogLine): ProcessCounts {
    const key = `${vm}\0${process}`;
    const counts = this.#processes.get(key) ?? { served: 0 };
    this.#processes.set(key, counts);
    return counts;
  }
}
