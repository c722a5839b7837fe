/**
 * Tracks the state of every endpoint, from the platform's list, load reports,
 * observations of entries and gossip.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type * as ports from "@sardinestep/ports";
import type * as rpc from "@sardinestep/rpc";
import type * as timeline from "@sardinestep/timeline";
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointId,
  type LoadReport,
} from "@sardinestep/types";

/** A report that takes longer counts as missed. */
const REPORT_TIMEOUT_MS = 1_000;
/** Consecutive missed reports after which an endpoint counts as silent. */
const SILENT_AFTER_MISSED_REPORTS = 3;

/** Settings and dependencies of an {@link EndpointController}. */
export interface EndpointControllerOptions {
  readonly endpoints: ports.EndpointPort;
  readonly loadIntervalMs: number;
  readonly timeline: timeline.Timeline;
  /** Called with the endpoints whose facts have changed. */
  readonly onChange: (changed: readonly EndpointFacts[]) => void;
  /** Called with every load report. */
  readonly onReport: (report: LoadReport) => void;
}

/** Maintains the endpoint table and polls the endpoints' load reports. */
export class EndpointController {
  readonly #options: EndpointControllerOptions;
  readonly #table = new membership.EndpointTable();
  readonly #loads = new Map<EndpointId, LoadReport>();
  readonly #missedReports = new Map<EndpointId, number>();
  readonly #pendingReads = new Set<EndpointId>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EndpointControllerOptions) {
    this.#options = options;
  }

  /** Starts polling load reports. */
  start(): void {
    const { loadIntervalMs } = this.#options;
    this.#timer = setInterval(() => this.#readReports(), loadIntervalMs);
  }

  /** Stops polling. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Returns all known endpoints. */
  getEndpoints(): EndpointFacts[] {
    return this.#table.getEndpoints();
  }

  /** Returns the newest load report of every endpoint that has sent one. */
  getLoads(): LoadReport[] {
    return [...this.#loads.values()];
  }

  /** Returns recent changes, which other controls may not have received yet. */
  getRecentChanges(): EndpointFacts[] {
    return this.#table.getRecentChanges(performance.now());
  }

  /** Applies the platform's list of endpoints. */
  applyList(list: ports.VmList, requestedAt: number): void {
    this.#table.applyList(list.endpoints, requestedAt, { asOf: list.asOf });
    this.#publishChanges();
  }

  /** Applies an entry's observation of an endpoint. */
  applyObservation(observation: membership.EndpointObservation): void {
    this.#table.applyObservation(observation, performance.now());
    this.#publishChanges();
  }

  /** Merges the endpoint facts that another control sent. */
  applyGossip(facts: readonly EndpointFacts[]): void {
    this.#table.applyGossip(facts, performance.now());
    this.#publishChanges();
  }

  /** Returns the endpoints with their newest load reports, for operators. */
  getStatus(): rpc.EndpointStatus[] {
    return this.getEndpoints().map((facts) => ({
      facts,
      load: this.#loads.get(facts.endpointId),
    }));
  }

  #readReports(): void {
    for (const endpoint of this.#table.getEndpoints()) {
      const { endpointId, state } = endpoint;
      const isDue = state !== ENDPOINT_STATE.gone &&
        !this.#pendingReads.has(endpointId);
      if (isDue) void this.#readReport(endpoint);
    }
  }

  async #readReport({ endpointId, address }: EndpointFacts): Promise<void> {
    this.#pendingReads.add(endpointId);
    const report = await this.#options.endpoints.readLoad(
      endpointId,
      address,
      REPORT_TIMEOUT_MS,
    );
    this.#pendingReads.delete(endpointId);
    if (report.isErr()) return this.#recordMissedReport(endpointId);
    this.#missedReports.delete(endpointId);
    this.#loads.set(endpointId, report.value);
    this.#table.applyReport(report.value, performance.now());
    this.#publishChanges();
    this.#options.onReport(report.value);
  }

  #recordMissedReport(endpointId: EndpointId): void {
    const missedCount = (this.#missedReports.get(endpointId) ?? 0) + 1;
    this.#missedReports.set(endpointId, missedCount);
    if (missedCount !== SILENT_AFTER_MISSED_REPORTS) return;
    const instance = this.#table.getEndpoint(endpointId)?.instance ?? "";
    this.applyObservation({ endpointId, instance, news: "silent" });
  }

  #publishChanges(): void {
    const changed = this.#table.takeChanges();
    if (changed.length === 0) return;
    for (const { endpointId, zone, state, instance } of changed) {
      if (state === ENDPOINT_STATE.gone) this.#removeReports(endpointId);
      const detail = { state, instance };
      const subject = { endpointId, zone };
      this.#options.timeline.record("endpoint_changed", subject, detail);
    }
    this.#options.onChange(changed);
  }

  #removeReports(endpointId: EndpointId): void {
    this.#loads.delete(endpointId);
    this.#missedReports.delete(endpointId);
  }
}
