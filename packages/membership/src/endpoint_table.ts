/**
 * The endpoints as one control process sees them. No sockets and no clock of
 * its own: every call says when it is made, in monotonic milliseconds.
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
  decideByNews,
  decideByReport,
} from "./endpoint_evidence.ts";
import {
  addLeaving,
  buildEndpointFacts,
  compareInstance,
  createEndpointRow,
  type EndpointNews,
  type EndpointRow,
  isFinal,
  isNegative,
  type ListedEndpointFacts,
  type ListedPlace,
  setNewRun,
} from "./endpoint_row.ts";

/** Limits of an {@link EndpointTable}. */
export interface EndpointTableOptions {
  /**
   * How long first-hand news is given to other controls, and is stronger
   * than what they say. Several gossip intervals, so that one lost message does
   * not lose the news.
   */
  readonly newsKeptMs?: number;
  /** An endpoint that is no longer listed is forgotten after so long. */
  readonly forgetAfterMs?: number;
}

const NEWS_KEPT_MS = 10_000;
const FORGET_AFTER_MS = 600_000;

/**
 * Which endpoints may be used and how far.
 *
 * Negative news wins from whichever source and comes undone only by newer proof.
 * `leaving` and `gone` need a new instance. `silent` and `cold` need a report that
 * was measured later, or a call that was answered later. The list lags and has no
 * instance ids, so it only adds, marks as leaving and drops; it revives nothing.
 *
 * @example
 * ```ts
 * table.applyReport(report, now);
 * push(table.takeChanges());
 * ```
 */
export class EndpointTable {
  readonly #newsKeptMs: number;
  readonly #forgetAfterMs: number;
  readonly #rows = new Map<EndpointId, EndpointRow>();
  readonly #changed = new Set<EndpointId>();
  #listAsOf = -Infinity;

  /** @param options How long news and forgotten endpoints are kept. */
  constructor(options: EndpointTableOptions = {}) {
    this.#newsKeptMs = options.newsKeptMs ?? NEWS_KEPT_MS;
    this.#forgetAfterMs = options.forgetAfterMs ?? FORGET_AFTER_MS;
  }

  /**
   * Takes a list over; one that is older than the last is ignored.
   *
   * @param endpoints The endpoints of the list.
   * @param now Monotonic milliseconds.
   * @param options `asOf`: the list's own time.
   */
  applyList(
    endpoints: readonly ListedEndpointFacts[],
    now: number,
    options: { readonly asOf?: number } = {},
  ): void {
    const asOf = options.asOf ?? this.#listAsOf;
    if (asOf < this.#listAsOf) return;
    this.#listAsOf = asOf;
    const named = new Set(endpoints.map((it) => it.endpointId));
    for (const listed of endpoints) this.#applyListed(listed, now);
    for (const row of this.#rows.values()) {
      if (!named.has(row.place.endpointId)) this.#applyUnlisted(row, now);
    }
  }

  #applyListed(listed: ListedEndpointFacts, now: number): void {
    const { state, ...place } = listed;
    const row = this.#getOrCreate(place);
    if (!isSamePlace(row.place, place)) {
      row.place = place;
      this.#changed.add(place.endpointId);
    }
    // The list lags: `leaving` counts once, when it changes to it, or it would
    // hit an instance that started later again and again.
    const isNews = state === "leaving" && row.listed !== "leaving";
    row.listed = state;
    row.goneAt = Infinity;
    if (isNews) this.#setState(row, ENDPOINT_STATE.leaving, now);
  }

  #applyUnlisted(row: EndpointRow, now: number): void {
    row.listed = undefined;
    if (row.goneAt === Infinity) row.goneAt = now;
    this.#setState(row, ENDPOINT_STATE.gone, now);
    if (now - row.goneAt > this.#forgetAfterMs) {
      this.#rows.delete(row.place.endpointId);
    }
  }

  /**
   * Takes over an endpoint's own report. One of a former run, or measured
   * before the newest one or before negative news, changes nothing.
   *
   * @param report The report; `measuredAt` by the same clock as `now`.
   * @param now Monotonic milliseconds.
   * @returns False when the report is stale and its load is of no use either.
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
    // Of a run that was just noticed only the start counts: it is cold.
    if (relation === "new") return true;
    this.#setState(row, decideByReport(row, report), now);
    return true;
  }

  /** Takes over what an entry has seen; the news is first-hand. */
  applyNews(news: EndpointNews, now: number): void {
    const row = this.#rows.get(news.endpointId);
    if (row === undefined) return;
    if (!this.#applyNewsInstance(row, news.instance, now)) return;
    this.#setState(row, decideByNews(row, news.news), now);
  }

  /**
   * Only reports tell which of two runs came later. An entry that names an unknown
   * one has seen either a restart or, before it knew better, the run before: the
   * endpoint is cold until the next report tells.
   */
  #applyNewsInstance(
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
    this.#setState(row, decideByNews(row, "cold"), now);
    return false;
  }

  /**
   * Takes over what another control gives as news. Negative states win; a
   * positive one counts only for endpoints that report nothing themselves, and where
   * this table has no recent negative evidence of its own.
   */
  applyGossip(facts: readonly EndpointFacts[], now: number): void {
    for (const fact of facts) this.#applyGossiped(fact, now);
  }

  #applyGossiped(fact: EndpointFacts, now: number): void {
    const row = this.#rows.get(fact.endpointId);
    if (row === undefined) return;
    if (fact.instance !== row.instance) {
      this.#applyGossipedRun(row, fact);
      return;
    }
    const hasOwnNews = now - row.negativeAt <= this.#newsKeptMs;
    const state = decideByGossip(row, fact.state, { hasOwnNews });
    if (state !== undefined) this.#setStateByGossip(row, state);
  }

  /**
   * Hearsay about another run than the known one. It has no order, so it changes no
   * instance: the endpoint is cold until its next report tells, and a run that
   * leaves is remembered in case it turns out to be the one.
   */
  #applyGossipedRun(row: EndpointRow, fact: EndpointFacts): void {
    const isOld = row.formerInstances.includes(fact.instance);
    // Who does not know the run may mean an earlier one.
    if (isOld || fact.instance === "") return;
    const isLeaving = fact.state === ENDPOINT_STATE.leaving ||
      fact.state === ENDPOINT_STATE.gone;
    if (isLeaving) addLeaving(row, fact.instance);
    const state = decideByGossip(row, ENDPOINT_STATE.cold, {
      hasOwnNews: false,
    });
    if (state !== undefined) this.#setStateByGossip(row, state);
  }

  /** Gives all endpoints. */
  getEndpoints(): EndpointFacts[] {
    return [...this.#rows.values()].map(buildEndpointFacts);
  }

  /** Gives one endpoint. */
  getEndpoint(endpointId: EndpointId): EndpointFacts | undefined {
    const row = this.#rows.get(endpointId);
    return row === undefined ? undefined : buildEndpointFacts(row);
  }

  /** Gives what has changed since the last call, for the own entries. */
  takeChanges(): EndpointFacts[] {
    const rows = [...this.#changed].map((id) => this.#rows.get(id));
    this.#changed.clear();
    return rows.filter((row) => row !== undefined).map(buildEndpointFacts);
  }

  /**
   * Gives what first-hand evidence has changed lately, for other controls. It
   * is given again until `newsKeptMs` has passed, since a message may be lost, and
   * what came by gossip is not passed on, or old news would go round for ever.
   */
  getNews(now: number): EndpointFacts[] {
    return [...this.#rows.values()]
      .filter((row) => now - row.ownNewsAt <= this.#newsKeptMs)
      .map(buildEndpointFacts);
  }

  #applyNewInstance(
    row: EndpointRow,
    instance: InstanceId,
    now: number,
  ): void {
    setNewRun(row, instance);
    row.negativeAt = now;
    row.ownNewsAt = now;
    this.#changed.add(row.place.endpointId);
  }

  /** A first report is no restart: its state counts, unless that run leaves. */
  #setFirstInstance(row: EndpointRow, instance: InstanceId): void {
    const { state, negativeAt } = row;
    setNewRun(row, instance);
    if (!isFinal(row.state)) row.state = state;
    row.negativeAt = negativeAt;
    this.#changed.add(row.place.endpointId);
  }

  #setState(
    row: EndpointRow,
    state: EndpointState | undefined,
    now: number,
  ): void {
    if (state === undefined) return;
    if (isNegative(state)) row.negativeAt = now;
    if (row.state === state) return;
    row.state = state;
    row.ownNewsAt = now;
    this.#changed.add(row.place.endpointId);
  }

  #setStateByGossip(row: EndpointRow, state: EndpointState): void {
    if (row.state === state) return;
    row.state = state;
    row.ownNewsAt = -Infinity;
    this.#changed.add(row.place.endpointId);
  }

  #getOrCreate(place: ListedPlace): EndpointRow {
    const known = this.#rows.get(place.endpointId);
    if (known !== undefined) return known;
    const row = createEndpointRow(place);
    this.#rows.set(place.endpointId, row);
    this.#changed.add(place.endpointId);
    return row;
  }
}

function isSamePlace(left: ListedPlace, right: ListedPlace): boolean {
  return left.address === right.address && left.zone === right.zone &&
    left.service === right.service && left.role === right.role &&
    left.coldConcurrency === right.coldConcurrency &&
    left.warmConcurrency === right.warmConcurrency;
}
