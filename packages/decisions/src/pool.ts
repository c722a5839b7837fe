/**
 * The endpoints of one service with the work that waits for them.
 *
 * @module
 */
import {
  type CustomerId,
  ENDPOINT_ROLE,
  type EndpointRole,
  type ServiceId,
} from "@sardinestep/types";
import { Backlog } from "./backlog.ts";
import type { Endpoint } from "./endpoint.ts";
import { Budget } from "./budget.ts";
import { PrefixRing } from "./prefix_ring.ts";
import { RecentRefusals } from "./return_time.ts";
import { Outage } from "./outage.ts";
import { StageQueue } from "./stage_queue.ts";

/** Part of a pool that may be shut out for being slow. */
const MAX_SLOW_PART = 0.34;

/** Retries for each call; brings a stage through the loss of one endpoint in ten. */
const RETRY_PART = 0.1;
/** Hedges for each call: about as many as calls exceed their usual time. */
const HEDGE_PART = 0.05;
/** Extra calls at once after a quiet time. */
const MAX_EXTRA_CALLS = 10;

/** Endpoints and waiting work of a service. */
export class Pool {
  readonly service: ServiceId;
  /** What its endpoints do. */
  role: EndpointRole = ENDPOINT_ROLE.service;
  readonly endpoints = new Set<Endpoint>();
  readonly ring = new PrefixRing(this.endpoints);
  /** Endpoints with room for a call. */
  readonly open: Endpoint[] = [];
  readonly queue = new StageQueue();
  readonly backlog: Backlog;
  readonly refusals = new RecentRefusals(() => this.slots);
  readonly retries = new Budget({ part: RETRY_PART, max: MAX_EXTRA_CALLS });
  readonly hedges = new Budget({ part: HEDGE_PART, max: MAX_EXTRA_CALLS });
  readonly outage = new Outage();
  /** Calls at once that this entry may have in the whole pool. */
  slots = 0;
  /** Endpoints with slots that are not on probation. */
  trusted = 0;
  /** Endpoints that are paused or slow and have to be looked at again. */
  readonly doubtful = new Set<Endpoint>();
  /** Calls of this entry that run in the pool. */
  inFlight = 0;
  /** Expected time of those calls in milliseconds. */
  runningMs = 0;

  constructor(
    service: ServiceId,
    getWeight: (customer: CustomerId) => number,
  ) {
    this.service = service;
    this.backlog = new Backlog(getWeight);
  }

  /** Adds an endpoint. */
  add(endpoint: Endpoint): void {
    if (this.endpoints.has(endpoint)) return;
    this.endpoints.add(endpoint);
    this.role = endpoint.facts.role;
    this.ring.reset();
  }

  /** Removes an endpoint; its running calls go on. */
  remove(endpoint: Endpoint): void {
    this.endpoints.delete(endpoint);
    this.ring.reset();
    this.doubtful.delete(endpoint);
    this.#setSlots(endpoint, 0);
    this.#setOpen(endpoint, false);
  }

  /** Brings slots and open endpoints in line after an endpoint has changed. */
  refresh(endpoint: Endpoint, now: number): void {
    if (!this.endpoints.has(endpoint)) return;
    const limit = endpoint.getLimit(now);
    this.#setSlots(endpoint, limit);
    this.#setOpen(endpoint, endpoint.inFlight < limit);
    if (endpoint.health.isOpen(now)) this.doubtful.delete(endpoint);
    else this.doubtful.add(endpoint);
  }

  /** Slots that the pool would have if all its endpoints answered. */
  getNominalSlots(): number {
    let slots = 0;
    for (const endpoint of this.endpoints) {
      if (endpoint.mayTakeWork()) slots += endpoint.slice;
    }
    return slots;
  }

  /** Opens endpoints whose pause is over. */
  refreshDoubtful(now: number): void {
    for (const endpoint of this.doubtful) this.refresh(endpoint, now);
  }

  /**
   * Ends all pauses after a result while the pool was out: what had failed
   * together has one cause, which is gone.
   */
  endPauses(now: number): void {
    for (const endpoint of this.doubtful) {
      endpoint.health.endPause(now);
      this.refresh(endpoint, now);
    }
  }

  /**
   * Whether one endpoint more may be shut out for being slow. When many are
   * slow at once it is the load or the work that has changed, not they: then
   * shutting them out would take away the capacity that is left.
   */
  maySetSlow(): boolean {
    let shutOut = 0;
    for (const { health } of this.endpoints) {
      if (health.isSlow || health.isOverdue) shutOut += 1;
    }
    return shutOut < this.endpoints.size * MAX_SLOW_PART;
  }

  #setSlots(endpoint: Endpoint, slots: number): void {
    const isTrusted = slots > 0 && !endpoint.health.isProbed;
    if (isTrusted !== endpoint.isTrusted) this.trusted += isTrusted ? 1 : -1;
    endpoint.isTrusted = isTrusted;
    this.slots += slots - endpoint.slots;
    endpoint.slots = slots;
  }

  #setOpen(endpoint: Endpoint, isOpen: boolean): void {
    const wasOpen = endpoint.openIndex >= 0;
    if (isOpen === wasOpen) return;
    if (isOpen) {
      endpoint.openIndex = this.open.push(endpoint) - 1;
      return;
    }
    const last = this.open.pop();
    if (last && last !== endpoint) {
      this.open[endpoint.openIndex] = last;
      last.openIndex = endpoint.openIndex;
    }
    endpoint.openIndex = -1;
  }
}
