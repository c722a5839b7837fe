/**
 * Limits this entry's concurrent calls to each endpoint; `warmer.ts` proves that
 * the sum over all entries stays within a cold endpoint's concurrency.
 *
 * @module
 */
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointId,
  type InstanceId,
  type MemberFacts,
  type VmId,
} from "@sardinestep/types";
import { getWarmShare } from "./warm_share.ts";
import { pickWarmer } from "./warmer.ts";

/**
 * Finished calls that raise a `warming` endpoint's limit by one. More than one, so
 * that a burst of short calls does not raise the limit while its caches are empty.
 */
export const CALLS_PER_STEP = 4;

/** Finished calls after which an endpoint that sends no reports counts as warm. */
export const CALLS_UNTIL_WARM = 32;

/** Identity and limits of a {@link WarmupGuard}. */
export interface WarmupGuardOptions {
  readonly vmId: VmId;
  /** How long a new warmer waits: at least what `buildTakeoverDelayMs` returns. */
  readonly takeoverDelayMs: number;
  /** Time without confirmation after which a view is stale. */
  readonly viewFreshMs: number;
  /**
   * How long the warmer waits after a warm endpoint became cold, until all entries
   * know it and their calls have ended; `takeoverDelayMs` by default.
   */
  readonly settleMs?: number;
}

/**
 * A view of the members, and when it was confirmed as current. Control confirms on
 * the connection that carries its changes, so a confirmation can't overtake one.
 * Only the local VM's control confirms. While it is down, the entry uses another
 * VM's control and sends to no cold endpoint, since other VMs may not see the entry
 * as that control does.
 */
export interface MemberView {
  readonly members: readonly MemberFacts[];
  /**
   * When control last confirmed this view as fresh: the send time of the answered
   * call, by this process's monotonic clock. Undefined while control reports that
   * its view is not fresh.
   */
  readonly confirmedAt: number | undefined;
}

interface GuardedEndpoint {
  facts: EndpointFacts;
  isWarmer: boolean;
  /** Time from which this VM has been the warmer in every view. */
  warmerSince: number;
  /** When the endpoint last stopped being warm. */
  coldSince: number;
  finishedCalls: number;
  warmShare: number;
}

/**
 * Limits the concurrent calls of one entry to each endpoint.
 *
 * @example
 * ```ts
 * guard.applyView({ members, confirmedAt: callSentAt }, now);
 * guard.applyEndpoint(facts, now);
 * guard.getCallLimit(facts.endpointId, now);
 * ```
 */
export class WarmupGuard {
  readonly #options: Required<WarmupGuardOptions>;
  readonly #endpoints = new Map<EndpointId, GuardedEndpoint>();
  #members: readonly MemberFacts[] = [];
  #liveIds = "";
  #membersChangedAt = Infinity;
  #confirmedAt = -Infinity;
  #freshSince = Infinity;

  /** @param options Identity and limits. */
  constructor(options: WarmupGuardOptions) {
    this.#options = { settleMs: options.takeoverDelayMs, ...options };
  }

  /** Applies a view of the members. */
  applyView(view: MemberView, now: number): void {
    this.#members = view.members;
    const liveIds = formatLiveIds(view.members);
    if (liveIds !== this.#liveIds) {
      this.#liveIds = liveIds;
      this.#membersChangedAt = now;
      for (const row of this.#endpoints.values()) this.#updateWarmer(row, now);
    }
    if (view.confirmedAt !== undefined) this.confirmView(view.confirmedAt, now);
  }

  /**
   * Records that control has confirmed the last applied view as fresh.
   *
   * @param confirmedAt Send time of the call that control answered.
   * @param now Monotonic milliseconds.
   */
  confirmView(confirmedAt: number, now: number): void {
    // Another entry may have been the warmer while this view was stale.
    if (!this.#isFresh(now)) this.#freshSince = now;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  /** Makes the view stale after a pause of this process or of control. */
  handlePause(): void {
    this.#confirmedAt = -Infinity;
  }

  /**
   * Applies an endpoint's facts. An entry that detects by itself that an endpoint
   * became cold (a broken connection, another instance in an answer) passes it
   * here as `cold` at once, and reports it to control.
   */
  applyEndpoint(facts: EndpointFacts, now: number): void {
    const row = this.#endpoints.get(facts.endpointId);
    if (row === undefined) {
      this.#addEndpoint(facts);
      return;
    }
    const wasWarm = row.facts.state === ENDPOINT_STATE.warm;
    const isNewInstance = row.facts.instance !== facts.instance &&
      row.facts.instance !== "";
    const isCold = facts.state === ENDPOINT_STATE.cold;
    if (isNewInstance || (wasWarm && isCold)) row.finishedCalls = 0;
    if (wasWarm && facts.state !== ENDPOINT_STATE.warm) row.coldSince = now;
    row.facts = facts;
    row.warmShare = this.#getWarmShare(facts);
  }

  /** Removes an endpoint that is gone. */
  removeEndpoint(endpointId: EndpointId): void {
    this.#endpoints.delete(endpointId);
  }

  /**
   * Returns this entry's limit of concurrent calls to an endpoint, including
   * running ones. Call it in the turn of the event loop in which the call is sent.
   */
  getCallLimit(endpointId: EndpointId, now: number): number {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return 0;
    // Hot path, run for each call: a plain switch, exhaustive by its return type.
    switch (endpoint.facts.state) {
      case "warm":
        return endpoint.warmShare;
      case "cold":
      case "warming":
        return this.#getWarmerLimit(endpoint, now);
      case "silent":
      case "leaving":
      case "gone":
        return 0;
    }
  }

  /**
   * Counts a finished call to an endpoint.
   *
   * @param endpointId The endpoint.
   * @param instance The instance that answered; only the known one is counted.
   * @returns True once, when the endpoint counts as warm; report that to control.
   */
  recordCallFinished(endpointId: EndpointId, instance: InstanceId): boolean {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return false;
    if (endpoint.facts.instance !== instance) return false;
    endpoint.finishedCalls += 1;
    const isWarm = endpoint.facts.state === ENDPOINT_STATE.warm;
    return !isWarm && endpoint.finishedCalls === CALLS_UNTIL_WARM;
  }

  /** Resets the limit to that of a cold endpoint after a failed call. */
  recordCallFailed(endpointId: EndpointId): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint !== undefined) endpoint.finishedCalls = 0;
  }

  #getWarmerLimit(endpoint: GuardedEndpoint, now: number): number {
    const { takeoverDelayMs, settleMs } = this.#options;
    if (!endpoint.isWarmer || !this.#isFresh(now)) return 0;
    const eligibleSince = Math.max(endpoint.warmerSince, this.#freshSince);
    if (now - eligibleSince < takeoverDelayMs) return 0;
    if (now - endpoint.coldSince < settleMs) return 0;
    return getColdLimit(endpoint);
  }

  #isFresh(now: number): boolean {
    return now - this.#confirmedAt <= this.#options.viewFreshMs;
  }

  #addEndpoint(facts: EndpointFacts): void {
    const isWarmer = this.#isWarmer(facts.endpointId);
    this.#endpoints.set(facts.endpointId, {
      facts,
      isWarmer,
      // The warmer depends only on the members, so it dates from their last change.
      warmerSince: this.#membersChangedAt,
      coldSince: -Infinity,
      finishedCalls: 0,
      warmShare: this.#getWarmShare(facts),
    });
  }

  #updateWarmer(endpoint: GuardedEndpoint, now: number): void {
    const isWarmer = this.#isWarmer(endpoint.facts.endpointId);
    if (isWarmer && !endpoint.isWarmer) endpoint.warmerSince = now;
    endpoint.isWarmer = isWarmer;
    endpoint.warmShare = this.#getWarmShare(endpoint.facts);
  }

  #isWarmer(endpointId: EndpointId): boolean {
    return pickWarmer(endpointId, this.#members) === this.#options.vmId;
  }

  #getWarmShare(facts: EndpointFacts): number {
    const { vmId } = this.#options;
    return getWarmShare(facts, { vmId, members: this.#members });
  }
}

/**
 * The limit grows only while the endpoint itself reports `warming`, and never
 * beyond its warm concurrency.
 */
function getColdLimit(endpoint: GuardedEndpoint): number {
  const { state, coldConcurrency, warmConcurrency } = endpoint.facts;
  if (state !== ENDPOINT_STATE.warming) return coldConcurrency;
  const raisedLimit = coldConcurrency +
    Math.floor(endpoint.finishedCalls / CALLS_PER_STEP);
  return Math.max(coldConcurrency, Math.min(raisedLimit, warmConcurrency));
}

function formatLiveIds(members: readonly MemberFacts[]): string {
  const live = members.filter((member) => member.state === "live");
  return live.map((member) => member.vmId).sort().join("\0");
}
