/**
 * Rate limits that endpoints announce, this VM's share of them, loans of other VMs'
 * shares, and pauses.
 *
 * @module
 */
import * as limitLoans from "@sardinestep/limit_loans";
import type * as logger from "@sardinestep/logger";
import * as serving from "@sardinestep/serving";
import type { Address, EndpointId } from "@sardinestep/types";
import { EVENT, type NoticeSource } from "./events.ts";
import type { SiteState } from "./site_state.ts";

/** Options of {@link RateLimits}. */
export interface RateLimitsOptions {
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly vmId: string;
  /** Asks another VM for parts of its shares. */
  readonly callLender: limitLoans.LoanBrokerOptions["callLender"];
}

/**
 * Enforces rate limits that this VM or another VM received from endpoints, and the
 * pauses that endpoints asked this VM for.
 */
export class RateLimits {
  readonly #options: RateLimitsOptions;
  readonly #limits = new serving.EndpointLimits();
  readonly #pauses = new serving.EndpointPauses();
  readonly #brittle = new serving.BrittleServices();
  readonly #sends = new serving.SendRate(serving.MAX_LIMIT_WINDOW_MS);
  /** Sends to each limited endpoint, those on loans included. */
  readonly #allSends = new serving.SendRate(limitLoans.RECENT_MS);
  readonly #loans: limitLoans.LoanBroker;

  /** @param options Site state, log, this VM's id and how others are asked. */
  constructor(options: RateLimitsOptions) {
    this.#options = options;
    this.#loans = new limitLoans.LoanBroker({
      callLender: options.callLender,
      getLenders: (endpointId) => this.#getLenders(endpointId),
    });
  }

  /** Returns the time until the pause that an endpoint asked for ends, in ms. */
  getPauseMs(endpoint: serving.ServingEndpoint, now: number): number {
    return this.#pauses.getWaitMs(endpoint, now);
  }

  /**
   * Returns the time until this VM may send a request to an endpoint, in
   * milliseconds; infinite where only other VMs may send. Asks other VMs for a loan
   * if this VM's share is used.
   */
  getWaitMs(endpoint: serving.ServingEndpoint, now: number): number {
    const pauseMs = this.getPauseMs(endpoint, now);
    const share = this.#planShare(endpoint);
    if (share === undefined) return pauseMs;
    const waitMs = this.#sends.getWaitMs(endpoint.id, now, share);
    if (waitMs === 0) return pauseMs;
    if (this.#loans.ledger.count(endpoint.id, now) > 0) return pauseMs;
    this.#askForLoan(endpoint.id, 0, now);
    return Math.max(pauseMs, waitMs);
  }

  /**
   * Lends other VMs parts of this VM's shares, which then count as its own sends.
   *
   * @returns What it lends, in the order of the asks.
   */
  lend(asks: readonly limitLoans.LoanAsk[]): number[] {
    const now = performance.now();
    return asks.map(({ endpointId, count: asked }) => {
      const endpoint = this.#options.site.findEndpoint(endpointId);
      const share = endpoint && this.#planShare(endpoint);
      if (share === undefined) return 0;
      const { requests, windowMs } = share;
      const sent = this.#sends.countSent(endpointId, now, windowMs);
      const lent = limitLoans.planLoan({ requests, sent, asked });
      for (let i = 0; i < lent; i++) this.#sends.record(endpointId, now);
      return lent;
    });
  }

  /** Whether the leader of a pool may call an endpoint now. */
  mayCall(endpoint: serving.ServingEndpoint, now: number): boolean {
    if (this.getPauseMs(endpoint, now) > 0) return false;
    const perSecond = this.#limits.get(endpoint);
    if (perSecond === undefined) return true;
    const share = serving.planLeaderShare(perSecond);
    return this.#sends.maySend(endpoint.id, now, share);
  }

  /** Records that a request or a call with pieces is sent to an endpoint. */
  recordSend(endpoint: serving.ServingEndpoint): void {
    const share = this.#planShare(endpoint);
    if (share === undefined) return;
    const { id } = endpoint;
    const now = performance.now();
    this.#allSends.record(id, now);
    const { ledger } = this.#loans;
    const isShareUsed = !this.#sends.maySend(id, now, share);
    if (!isShareUsed || !ledger.removeSend(id, now)) {
      this.#sends.record(id, now);
    }
    const { requests, windowMs } = share;
    const ownLeft = requests - this.#sends.countSent(id, now, windowMs);
    const left = Math.max(0, ownLeft) + ledger.count(id, now);
    this.#askForLoan(id, left, now);
  }

  /** Records the limit in an endpoint's answer, or that it has none. */
  recordAnswer(
    { id, bornMs }: serving.ServingEndpoint,
    perSecond: number | undefined,
  ): void {
    const limit = { endpointId: id, bornMs, perSecond };
    this.#record(limit, performance.now(), "answer");
  }

  /** Records that an endpoint asked this VM for a pause. */
  recordPause(endpoint: serving.ServingEndpoint, pauseMs: number): void {
    if (!this.#pauses.record(endpoint, { pauseMs, now: performance.now() })) {
      return;
    }
    const { id: endpointId, service } = endpoint;
    const fields = { endpointId, service, pauseMs: Math.round(pauseMs) };
    this.#options.events.write(EVENT.endpointPaused, fields);
  }

  /** Rejections a second that an endpoint survives; undefined if not brittle. */
  getBrittleBound({ service }: serving.ServingEndpoint): number | undefined {
    return this.#brittle.get(service);
  }

  /** Records whether an endpoint's answer says that its service is brittle. */
  recordBrittle(
    { service }: serving.ServingEndpoint,
    perSecond: number | undefined,
  ): void {
    if (!this.#brittle.record(service, perSecond)) return;
    this.#options.events.write(EVENT.serviceBrittle, { service, perSecond });
  }

  /**
   * Records that an endpoint rejected a request for want of room. A brittle one gets
   * nothing from this VM for a while.
   *
   * @param endpoint The endpoint.
   * @param senders VMs that send such requests to it.
   */
  recordRejection(endpoint: serving.ServingEndpoint, senders: number): void {
    const perSecond = this.#brittle.get(endpoint.service);
    if (perSecond === undefined) return;
    const random = Math.random();
    const pauseMs = serving.planRejectionPause({ perSecond, senders, random });
    this.#pauses.record(endpoint, { pauseMs, now: performance.now() });
  }

  /** Returns updates for other VMs; undefined if there are none. */
  getUpdates(
    options: serving.GossipOptions = {},
  ): readonly serving.LimitUpdate[] | undefined {
    return this.#limits.getUpdates(performance.now(), options);
  }

  /** Merges updates from another VM. */
  mergeUpdates(updates: readonly serving.LimitUpdate[]): void {
    const now = performance.now();
    for (const { ageMs, ...limit } of updates) {
      this.#record(limit, now - ageMs, "peer");
    }
  }

  /** Removes all endpoints except the given ones. */
  keep(ids: ReadonlySet<EndpointId>): void {
    this.#limits.keep(ids);
    this.#pauses.dropEnded(performance.now());
    this.#sends.keep(ids);
    this.#allSends.keep(ids);
    this.#loans.keep(ids);
  }

  #planShare(
    endpoint: serving.ServingEndpoint,
  ): serving.SendShare | undefined {
    const limit = this.#getLimit(endpoint);
    return limit && serving.planLimitShare(limit);
  }

  #getLimit(
    endpoint: serving.ServingEndpoint,
  ): serving.SharedRateLimit | undefined {
    const perSecond = this.#limits.get(endpoint);
    if (perSecond === undefined) return undefined;
    const { site, vmId } = this.#options;
    return {
      endpointId: endpoint.id,
      vmId,
      members: site.senders,
      perSecond,
    };
  }

  #askForLoan(id: EndpointId, left: number, now: number): void {
    const recent = this.#allSends.countSent(id, now, limitLoans.RECENT_MS);
    const asked = limitLoans.planAsk({ left, recent });
    if (asked > 0) this.#loans.addAsk(id, asked);
  }

  #getLenders(endpointId: EndpointId): Address[] {
    const { site, vmId } = this.#options;
    const endpoint = site.findEndpoint(endpointId);
    const limit = endpoint && this.#getLimit(endpoint);
    if (limit === undefined) return [];
    const ids = new Set(serving.pickLimitSharers(limit));
    return site.members
      .filter((member) => member.vmId !== vmId && ids.has(member.vmId))
      .map((member) => member.rpc);
  }

  #record(
    limit: serving.EndpointLimit,
    at: number,
    source: NoticeSource,
  ): void {
    const { endpointId, perSecond } = limit;
    const { site, events } = this.#options;
    const service = site.findEndpoint(endpointId)?.service;
    // Another VM may have learned of an endpoint from the registry earlier.
    if (service === undefined || !this.#limits.record(limit, at)) return;
    events.write(EVENT.endpointLimited, {
      endpointId,
      service,
      perSecond,
      source,
    });
  }
}
