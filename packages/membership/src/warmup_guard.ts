/**
 * Which cold endpoints this VM's entry may send to, and how many calls at once;
 * `warmer.ts` tells why the sum over all entries stays in bounds.
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
import { getWarmSlice } from "./warm_slice.ts";
import { pickWarmer } from "./warmer.ts";

/**
 * Finished calls in a state of `warming` that raise the bound by one. Larger
 * than one, so that a burst of short calls does not open an endpoint whose caches
 * are still empty.
 */
export const CALLS_PER_STEP = 4;

/** Finished calls after which an endpoint that reports no state is warm. */
export const PROVEN_CALLS = 32;

/** Identity and limits of a {@link WarmupGuard}. */
export interface WarmupGuardOptions {
  readonly vmId: VmId;
  /** At least what `buildQuarantineMs` computes. */
  readonly quarantineMs: number;
  /** A view that was not confirmed for so long is stale. */
  readonly viewFreshMs: number;
  /**
   * How long the warmer waits after a warm endpoint turned cold: until all
   * entries know it and their calls have ended. The quarantine by default.
   */
  readonly settleMs?: number;
}

/**
 * A view of the members, and when it was known to be in force. Control confirms
 * on the connection on which it sends changes, so that none is overtaken. Only the
 * own VM's control confirms: an entry that uses a neighbour's while its own is
 * dead warms nothing, for others may not hear of it what that neighbour hears.
 */
export interface MemberView {
  readonly members: readonly MemberFacts[];
  /**
   * When control was last known to hold this view as a fresh one, by this
   * process's monotonic clock: when the call was sent that it answered.
   * Undefined while control says that its view is not fresh.
   */
  readonly viewAt: number | undefined;
}

interface GuardedEndpoint {
  facts: EndpointFacts;
  isWarmer: boolean;
  /** Since when this VM has been the warmer in every view. */
  warmerSince: number;
  /** Since when the endpoint has been known to be cold after it was warm. */
  coldSince: number;
  finished: number;
  warmSlice: number;
}

/**
 * Bounds the calls of one entry to each endpoint.
 *
 * @example
 * ```ts
 * guard.applyView({ members, viewAt: askedAt }, now);
 * guard.applyEndpoint(facts, now);
 * guard.getSlice(facts.endpointId, now);
 * ```
 */
export class WarmupGuard {
  readonly #options: Required<WarmupGuardOptions>;
  readonly #endpoints = new Map<EndpointId, GuardedEndpoint>();
  #members: readonly MemberFacts[] = [];
  #liveText = "";
  #membersSince = Infinity;
  #viewAt = -Infinity;
  #freshSince = Infinity;

  /** @param options Identity and limits. */
  constructor(options: WarmupGuardOptions) {
    this.#options = { settleMs: options.quarantineMs, ...options };
  }

  /** Takes over a view of the members. */
  applyView(view: MemberView, now: number): void {
    this.#members = view.members;
    const liveText = formatLive(view.members);
    if (liveText !== this.#liveText) {
      this.#liveText = liveText;
      this.#membersSince = now;
      for (const it of this.#endpoints.values()) this.#updatePicks(it, now);
    }
    if (view.viewAt !== undefined) this.recordConfirmed(view.viewAt, now);
  }

  /**
   * Notes that the view last given was still in force and fresh.
   *
   * @param viewAt When the call was sent that control answered so.
   * @param now Monotonic milliseconds.
   */
  recordConfirmed(viewAt: number, now: number): void {
    // After a gap others may have warmed in between.
    if (!this.#isFresh(now)) this.#freshSince = now;
    this.#viewAt = Math.max(this.#viewAt, viewAt);
  }

  /** Drops the view's proof; after a pause of this process or of control. */
  handlePause(): void {
    this.#viewAt = -Infinity;
  }

  /**
   * Takes over what is known of an endpoint. An entry that sees for itself that
   * an endpoint turned cold (a broken connection, another instance in
   * an answer) gives it here as `cold` at once and tells control.
   */
  applyEndpoint(facts: EndpointFacts, now: number): void {
    const known = this.#endpoints.get(facts.endpointId);
    if (known === undefined) {
      this.#addEndpoint(facts);
      return;
    }
    const wasWarm = known.facts.state === ENDPOINT_STATE.warm;
    const isNewRun = known.facts.instance !== facts.instance &&
      known.facts.instance !== "";
    const isCold = facts.state === ENDPOINT_STATE.cold;
    if (isNewRun || (wasWarm && isCold)) known.finished = 0;
    if (wasWarm && facts.state !== ENDPOINT_STATE.warm) known.coldSince = now;
    known.facts = facts;
    known.warmSlice = this.#getWarmSlice(facts);
  }

  /** Forgets an endpoint that is gone. */
  removeEndpoint(endpointId: EndpointId): void {
    this.#endpoints.delete(endpointId);
  }

  /**
   * Gives how many calls at once this entry may have at an endpoint now, those
   * that run included. Ask in the turn of the loop in which the call is sent.
   */
  getSlice(endpointId: EndpointId, now: number): number {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return 0;
    // Hot path, asked for each call: a plain switch, exhaustive by its return type.
    switch (endpoint.facts.state) {
      case "warm":
        return endpoint.warmSlice;
      case "cold":
      case "warming":
        return this.#getColdSlice(endpoint, now);
      case "silent":
      case "leaving":
      case "gone":
        return 0;
    }
  }

  /**
   * Counts a finished call of an endpoint that is warming.
   *
   * @param endpointId The endpoint.
   * @param instance The run that answered; one of another run counts nothing.
   * @returns True once, when the endpoint has proved to be warm: tell control.
   */
  recordFinished(endpointId: EndpointId, instance: InstanceId): boolean {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return false;
    if (endpoint.facts.instance !== instance) return false;
    endpoint.finished += 1;
    const isWarm = endpoint.facts.state === ENDPOINT_STATE.warm;
    return !isWarm && endpoint.finished === PROVEN_CALLS;
  }

  /** Goes back to the bound of a cold endpoint after a call has failed. */
  recordFailed(endpointId: EndpointId): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint !== undefined) endpoint.finished = 0;
  }

  #getColdSlice(endpoint: GuardedEndpoint, now: number): number {
    const { quarantineMs, settleMs } = this.#options;
    if (!endpoint.isWarmer || !this.#isFresh(now)) return 0;
    const since = Math.max(endpoint.warmerSince, this.#freshSince);
    if (now - since < quarantineMs) return 0;
    if (now - endpoint.coldSince < settleMs) return 0;
    return getBound(endpoint);
  }

  #isFresh(now: number): boolean {
    return now - this.#viewAt <= this.#options.viewFreshMs;
  }

  #addEndpoint(facts: EndpointFacts): void {
    const isWarmer = this.#isWarmer(facts.endpointId);
    this.#endpoints.set(facts.endpointId, {
      facts,
      isWarmer,
      // The pick rests on the members alone, so it has stood since they changed.
      warmerSince: this.#membersSince,
      coldSince: -Infinity,
      finished: 0,
      warmSlice: this.#getWarmSlice(facts),
    });
  }

  #updatePicks(endpoint: GuardedEndpoint, now: number): void {
    const isWarmer = this.#isWarmer(endpoint.facts.endpointId);
    if (isWarmer && !endpoint.isWarmer) endpoint.warmerSince = now;
    endpoint.isWarmer = isWarmer;
    endpoint.warmSlice = this.#getWarmSlice(endpoint.facts);
  }

  #isWarmer(endpointId: EndpointId): boolean {
    return pickWarmer(endpointId, this.#members) === this.#options.vmId;
  }

  #getWarmSlice(facts: EndpointFacts): number {
    const { vmId } = this.#options;
    return getWarmSlice(facts, { vmId, members: this.#members });
  }
}

/**
 * The bound grows only while the endpoint itself says that it is warming, and
 * never beyond what it bears when warm.
 */
function getBound(endpoint: GuardedEndpoint): number {
  const { state, coldConcurrency, warmConcurrency } = endpoint.facts;
  if (state !== ENDPOINT_STATE.warming) return coldConcurrency;
  const grown = coldConcurrency +
    Math.floor(endpoint.finished / CALLS_PER_STEP);
  return Math.max(coldConcurrency, Math.min(grown, warmConcurrency));
}

function formatLive(members: readonly MemberFacts[]): string {
  const live = members.filter((member) => member.state === "live");
  return live.map((member) => member.vmId).sort().join("\0");
}
