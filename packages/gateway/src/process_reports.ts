/**
 * Which process runs at the address of an endpoint.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import type { EndpointId } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import { PROCESS_STATE, type ProcessState } from "./http_pool.ts";
import type { WireAdapter } from "./ports.ts";

/** Options of {@link ProcessReports}. */
export interface ProcessReportsOptions {
  readonly checkProcess: WireAdapter["checkProcess"];
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  /** Called once for each process that has the place of a registered one. */
  readonly handleReplaced: (endpoint: serving.ServingEndpoint) => void;
}

/** Most reports of one endpoint that are asked for at a time. */
const MAX_PENDING_REPORTS = 2;

/** A report that was asked for, and may not have arrived yet. */
interface PendingReport {
  /** Monotonic time at which it was asked for. */
  readonly askedAt: number;
  readonly state: Promise<ProcessState>;
}

/** What is known of the process that is registered for an endpoint. */
interface KnownProcess {
  /** The registered process, by its start and its address. */
  readonly bornMs: number | undefined;
  readonly address: string;
  /** Monotonic time at or after which it was last seen to run. */
  ranAt: number;
  isReplaced: boolean;
  /** Reports that were asked for, the latest last. */
  readonly pending: PendingReport[];
  /** The report that is asked for after the first of them. */
  next?: Promise<ProcessState>;
}

/**
 * Asks endpoints for reports and keeps what they show of their processes.
 *
 * Guards against taking a process for the registered one: an endpoint that starts again
 * keeps its id and address, and may run another version than its record names until a
 * new one arrives. A process that is seen to run owns its address from its start on, so
 * that all connections opened since the VM knows its record lead to it. Requests share
 * reports: one that was asked for later than a connection was opened covers it.
 */
export class ProcessReports {
  readonly #options: ProcessReportsOptions;
  readonly #known = new Map<EndpointId, KnownProcess>();

  /** @param options Asks endpoints; where results are logged and counted. */
  constructor(options: ProcessReportsOptions) {
    this.#options = options;
  }

  /**
   * Whether the registered process is known to have run at a time or after it.
   *
   * @param endpoint The endpoint as it was registered when a request was sent to it.
   * @param since Monotonic time, in milliseconds.
   */
  hasRun(endpoint: serving.ServingEndpoint, since: number): boolean {
    const known = this.#find(endpoint);
    return known !== undefined && known.ranAt >= since;
  }

  /** Whether another process has the address of the registered one. */
  isReplaced(endpoint: serving.ServingEndpoint): boolean {
    return this.#find(endpoint)?.isReplaced ?? false;
  }

  /**
   * Finds out whether the registered process ran at a time or after it, and asks it
   * unless that is known.
   *
   * @param endpoint The endpoint as it was registered when a request was sent to it.
   * @param since Monotonic time, in milliseconds; not in the future.
   * @example
   * ```ts
   * await reports.check(endpoint, openedAt); // "running"
   * ```
   */
  async check(
    endpoint: serving.ServingEndpoint,
    since: number,
  ): Promise<ProcessState> {
    if (this.hasRun(endpoint, since)) return PROCESS_STATE.running;
    const known = this.#getKnown(endpoint);
    if (known.isReplaced) return PROCESS_STATE.replaced;
    const latest = known.pending.at(-1);
    if (latest !== undefined && latest.askedAt >= since) {
      return await latest.state;
    }
    if (known.pending.length < MAX_PENDING_REPORTS) {
      return await this.#ask(endpoint, known);
    }
    known.next ??= known.pending[0]!.state.then(() => {
      known.next = undefined;
      return this.#ask(endpoint, known);
    });
    return await known.next;
  }

  /** Forgets endpoints that are no longer registered. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#known.keys()) {
      if (!ids.has(id)) this.#known.delete(id);
    }
  }

  #ask(
    endpoint: serving.ServingEndpoint,
    known: KnownProcess,
  ): Promise<ProcessState> {
    const askedAt = performance.now();
    const state = this.#options.checkProcess(endpoint).then((answer) => {
      known.pending.splice(known.pending.indexOf(report), 1);
      this.#record(endpoint, known, { askedAt, state: answer });
      return answer;
    });
    const report: PendingReport = { askedAt, state };
    known.pending.push(report);
    return state;
  }

  #record(
    endpoint: serving.ServingEndpoint,
    known: KnownProcess,
    { askedAt, state }: { askedAt: number; state: ProcessState },
  ): void {
    const { id, service, version } = endpoint;
    const { events, metrics, handleReplaced } = this.#options;
    metrics.count("process_reports_total", { service, state });
    if (state === PROCESS_STATE.running) {
      known.ranAt = Math.max(known.ranAt, askedAt);
    }
    if (state !== PROCESS_STATE.replaced || known.isReplaced) return;
    known.isReplaced = true;
    events.write(EVENT.endpointReplaced, {
      endpointId: id,
      service,
      version,
      bornMs: known.bornMs,
    });
    handleReplaced(endpoint);
  }

  #find(endpoint: serving.ServingEndpoint): KnownProcess | undefined {
    const known = this.#known.get(endpoint.id);
    const isSame = known?.bornMs === endpoint.bornMs &&
      known?.address === endpoint.address;
    return isSame ? known : undefined;
  }

  #getKnown(endpoint: serving.ServingEndpoint): KnownProcess {
    const found = this.#find(endpoint);
    if (found !== undefined) return found;
    const known: KnownProcess = {
      bornMs: endpoint.bornMs,
      address: endpoint.address,
      ranAt: -Infinity,
      isReplaced: false,
      pending: [],
    };
    this.#known.set(endpoint.id, known);
    return known;
  }
}
