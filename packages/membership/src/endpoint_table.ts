/**
 * One control process's view of the endpoints. Has no sockets and no clock:
 * callers pass the current monotonic time in milliseconds.
 *
 * @module
 */
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointId,
  type EndpointState,
  type InstanceId,
  type LoadReport,
} from "@sardinestep/types";
import {
  decideByGossip,
  decideByObservation,
  decideByReport,
} from "./endpoint_evidence.ts";
import {
  addLeavingInstance,
  buildEndpointFacts,
  compareInstance,
  createEndpointRow,
  type EndpointObservation,
  type EndpointRow,
  type EndpointSpec,
  isFinal,
  isNegative,
  type ListedEndpointFacts,
  startNewInstance,
} from "./endpoint_row.ts";

/** Limits of an {@link EndpointTable}. */
export interface EndpointTableOptions {
  /**
   * How long a change by direct evidence is sent to other controls and takes
   * precedence over their gossip. Several gossip intervals, so that one lost
   * message does not lose the change.
   */
  readonly gossipRetentionMs?: number;
  /** Time after which an endpoint that left the list is removed. */
  readonly forgetAfterMs?: number;
}

const GOSSIP_RETENTION_MS = 10_000;
const FORGET_AFTER_MS = 600_000;

/**
 * Tracks which endpoints are usable, and in which state.
 *
 * Negative evidence from any source takes precedence until newer evidence
 * supersedes it: a new instance for `leaving` and `gone`; a report measured
 * later, or a call answered later, for `silent` and `cold`. The list lags and has
 * no instance ids, so it only adds endpoints, marks them as leaving and removes
 * them; it never restores one.
 *
 * @example
 * ```ts
 * table.applyReport(report, now);
 * push(table.takeChanges());
 * ```
 */
export class EndpointTable {
  readonly #gossipRetentionMs: number;
  readonly #forgetAfterMs: number;
  readonly #rows = new Map<EndpointId, EndpointRow>();
  readonly #changed = new Set<EndpointId>();
  #listAsOf = -Infinity;

  /** @param options How long changes and unlisted endpoints are kept. */
  constructor(options: EndpointTableOptions = {}) {
    this.#gossipRetentionMs = options.gossipRetentionMs ?? GOSSIP_RETENTION_MS;
    this.#forgetAfterMs = options.forgetAfterMs ?? FORGET_AFTER_MS;
  }

  /**
   * Applies an endpoint list; one older than the last is ignored.
   *
   * @param endpoints The listed endpoints.
   * @param now Monotonic milliseconds.
   * @param options `asOf`: the list's own timestamp.
   */
  applyList(
    endpoints: readonly ListedEndpointFacts[],
    now: number,
    options: { readonly asOf?: number } = {},
  ): void {
    const asOf = options.asOf ?? this.#listAsOf;
    if (asOf < this.#listAsOf) return;
    this.#listAsOf = asOf;
    const listedIds = new Set(endpoints.map((endpoint) => endpoint.endpointId));
    for (const listed of endpoints) this.#applyListed(listed, now);
    for (const row of this.#rows.values()) {
      if (!listedIds.has(row.spec.endpointId)) this.#applyUnlisted(row, now);
    }
  }

  #applyListed(listed: ListedEndpointFacts, now: number): void {
    const { state, ...spec } = listed;
    const row = this.#getOrCreate(spec);
    if (!isSameSpec(row.spec, spec)) {
      row.spec = spec;
      this.#changed.add(spec.endpointId);
    }
    // The list lags: `leaving` applies only when the listed state changes to it;
    // otherwise it would repeatedly affect an instance that started later.
    const isNewlyLeaving = state === "leaving" && row.listedAs !== "leaving";
    row.listedAs = state;
    row.unlistedAt = Infinity;
    if (isNewlyLeaving) this.#setState(row, ENDPOINT_STATE.leaving, now);
  }

  #applyUnlisted(row: EndpointRow, now: number): void {
    row.listedAs = undefined;
    if (row.unlistedAt === Infinity) row.unlistedAt = now;
    this.#setState(row, ENDPOINT_STATE.gone, now);
    if (now - row.unlistedAt > this.#forgetAfterMs) {
      this.#rows.delete(row.spec.endpointId);
    }
  }

  /**
   * Applies an endpoint's own report. A report of a former instance, or measured
   * before the newest applied report, is rejected; one measured before negative
   * evidence can't improve the state.
   *
   * @param report The report; `measuredAt` by the same clock as `now`.
   * @param now Monotonic milliseconds.
   * @returns False when the report is stale; its load must not be used either.
   */
  applyReport(report: LoadReport, now: number): boolean {
    const row = this.#rows.get(report.endpointId);
    if (row === undefined) return false;
    const relation = compareInstance(row, report.instance);
    if (relation === "former" || report.measuredAt <= row.reportedAt) {
      return false;
    }
    if (relation === "first") this.#setFirstInstance(row, report.instance);
    if (relation === "new") this.#applyNewInstance(row, report.instance, now);
    row.reportedAt = report.measuredAt;
    // A newly detected instance is cold, whatever state its first report names.
    if (relation === "new") return true;
    this.#setState(row, decideByReport(row, report), now);
    return true;
  }

  /** Applies an entry's observation, which is direct evidence. */
  applyObservation(observation: EndpointObservation, now: number): void {
    const row = this.#rows.get(observation.endpointId);
    if (row === undefined) return;
    if (!this.#applyObservedInstance(row, observation.instance, now)) return;
    this.#setState(row, decideByObservation(row, observation.news), now);
  }

  /**
   * Only reports show which of two instances is newer. An entry that names an
   * unknown instance saw either a restart or, with outdated data, the previous
   * instance. The endpoint is cold until the next report.
   */
  #applyObservedInstance(
    row: EndpointRow,
    instance: InstanceId,
    now: number,
  ): boolean {
    const relation = compareInstance(row, instance);
    if (relation === "same") return true;
    if (relation === "former") return false;
    if (row.reportedAt === -Infinity) {
      this.#applyNewInstance(row, instance, now);
      return true;
    }
    this.#setState(row, decideByObservation(row, "cold"), now);
    return false;
  }

  /**
   * Applies another control's recent changes. Negative states take precedence; a
   * positive one applies only to endpoints that send no reports, and only while
   * this table has no recent negative evidence of its own.
   */
  applyGossip(facts: readonly EndpointFacts[], now: number): void {
    for (const gossiped of facts) this.#applyGossipedFacts(gossiped, now);
  }

  #applyGossipedFacts(gossiped: EndpointFacts, now: number): void {
    const row = this.#rows.get(gossiped.endpointId);
    if (row === undefined) return;
    if (gossiped.instance !== row.instance) {
      this.#applyGossipedInstance(row, gossiped);
      return;
    }
    const hasRecentLocalEvidence =
      now - row.negativeEvidenceAt <= this.#gossipRetentionMs;
    const state = decideByGossip(row, gossiped.state, {
      hasRecentLocalEvidence,
    });
    if (state !== undefined) this.#setStateByGossip(row, state);
  }

  /**
   * Applies gossip about an instance other than the known one. Gossip has no
   * order, so the known instance stays: the endpoint is cold until its next report,
   * and a leaving instance is recorded in case it proves to be the current one.
   */
  #applyGossipedInstance(row: EndpointRow, gossiped: EndpointFacts): void {
    const isFormer = row.formerInstances.includes(gossiped.instance);
    // A sender that does not know the instance may mean an earlier one.
    if (isFormer || gossiped.instance === "") return;
    const isLeaving = gossiped.state === ENDPOINT_STATE.leaving ||
      gossiped.state === ENDPOINT_STATE.gone;
    if (isLeaving) addLeavingInstance(row, gossiped.instance);
    const state = decideByGossip(row, ENDPOINT_STATE.cold, {
      hasRecentLocalEvidence: false,
    });
    if (state !== undefined) this.#setStateByGossip(row, state);
  }

  /** Returns all endpoints. */
  getEndpoints(): EndpointFacts[] {
    return [...this.#rows.values()].map(buildEndpointFacts);
  }

  /** Returns one endpoint. */
  getEndpoint(endpointId: EndpointId): EndpointFacts | undefined {
    const row = this.#rows.get(endpointId);
    return row === undefined ? undefined : buildEndpointFacts(row);
  }

  /** Returns and clears the changes since the last call, for the local entries. */
  takeChanges(): EndpointFacts[] {
    const rows = [...this.#changed].map((id) => this.#rows.get(id));
    this.#changed.clear();
    return rows.filter((row) => row !== undefined).map(buildEndpointFacts);
  }

  /**
   * Returns recent changes by direct evidence, for other controls. Each is
   * returned for `gossipRetentionMs`, since a message may be lost. Changes by
   * gossip are not forwarded; otherwise old ones would circulate forever.
   */
  getRecentChanges(now: number): EndpointFacts[] {
    return [...this.#rows.values()]
      .filter((row) => now - row.localEvidenceAt <= this.#gossipRetentionMs)
      .map(buildEndpointFacts);
  }

  #applyNewInstance(
    row: EndpointRow,
    instance: InstanceId,
    now: number,
  ): void {
    startNewInstance(row, instance);
    row.negativeEvidenceAt = now;
    row.localEvidenceAt = now;
    this.#changed.add(row.spec.endpointId);
  }

  /**
   * A first report is no restart: the state stays unless the instance is known to
   * be leaving or the endpoint is not listed.
   */
  #setFirstInstance(row: EndpointRow, instance: InstanceId): void {
    const { state, negativeEvidenceAt } = row;
    startNewInstance(row, instance);
    if (!isFinal(row.state)) row.state = state;
    row.negativeEvidenceAt = negativeEvidenceAt;
    this.#changed.add(row.spec.endpointId);
  }

  #setState(
    row: EndpointRow,
    state: EndpointState | undefined,
    now: number,
  ): void {
    if (state === undefined) return;
    if (isNegative(state)) row.negativeEvidenceAt = now;
    if (row.state === state) return;
    row.state = state;
    row.localEvidenceAt = now;
    this.#changed.add(row.spec.endpointId);
  }

  #setStateByGossip(row: EndpointRow, state: EndpointState): void {
    if (row.state === state) return;
    row.state = state;
    row.localEvidenceAt = -Infinity;
    this.#changed.add(row.spec.endpointId);
  }

  #getOrCreate(spec: EndpointSpec): EndpointRow {
    const existing = this.#rows.get(spec.endpointId);
    if (existing !== undefined) return existing;
    const row = createEndpointRow(spec);
    this.#rows.set(spec.endpointId, row);
    this.#changed.add(spec.endpointId);
    return row;
  }
}

function isSameSpec(left: EndpointSpec, right: EndpointSpec): boolean {
  return left.address === right.address && left.zone === right.zone &&
    left.service === right.service && left.role === right.role &&
    left.coldConcurrency === right.coldConcurrency &&
    left.warmConcurrency === right.warmConcurrency;
}
