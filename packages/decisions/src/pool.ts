/**
 * A pool: the endpoints of one service and the work that waits for them.
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
import { RecentRefusals } from "./retry_after.ts";
import { Outage } from "./outage.ts";
import { StageQueue } from "./stage_queue.ts";

/** Share of a pool's endpoints that may be excluded for being slow. */
const MAX_EXCLUDED_SHARE = 0.34;

/** Retries per call; enough for the loss of one endpoint in ten. */
const RETRIES_PER_CALL = 0.1;
/** Hedges per call; about the share of calls above the 95th percentile. */
const HEDGES_PER_CALL = 0.05;
/** Unused extra calls that a budget can accumulate for a burst. */
const MAX_SAVED_EXTRA_CALLS = 10;

/** Endpoints, queue and load of a service. */
export class Pool {
  readonly service: ServiceId;
  /** Role of its endpoints. */
  role: EndpointRole = ENDPOINT_ROLE.service;
  readonly endpoints = new Set<Endpoint>();
  readonly ring = new PrefixRing(this.endpoints);
  /** Endpoints with a free slot. */
  readonly available: Endpoint[] = [];
  readonly queue = new StageQueue();
  readonly backlog: Backlog;
  readonly refusals = new RecentRefusals(() => this.slots);
  readonly retries = new Budget({
    perCall: RETRIES_PER_CALL,
    max: MAX_SAVED_EXTRA_CALLS,
  });
  readonly hedges = new Budget({
    perCall: HEDGES_PER_CALL,
    max: MAX_SAVED_EXTRA_CALLS,
  });
  readonly outage = new Outage();
  /** Concurrent calls that this entry may have in the whole pool. */
  slots = 0;
  /** Number of endpoints that have slots and are not on probation. */
  healthy = 0;
  /** Endpoints that are paused or have an overdue call, to be rechecked. */
  readonly suspended = new Set<Endpoint>();
  /** Number of running calls of this entry in the pool. */
  inFlight = 0;
  /** Sum of the expected times of those calls in milliseconds. */
  inFlightWorkMs = 0;

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

  /** Removes an endpoint; its running calls continue. */
  remove(endpoint: Endpoint): void {
    this.endpoints.delete(endpoint);
    this.ring.reset();
    this.suspended.delete(endpoint);
    this.#setSlots(endpoint, 0);
    this.#setAvailable(endpoint, false);
  }

  /** Updates slots and available endpoints after a change of an endpoint. */
  refresh(endpoint: Endpoint, now: number): void {
    if (!this.endpoints.has(endpoint)) return;
    const limit = endpoint.getLimit(now);
    this.#setSlots(endpoint, limit);
    this.#setAvailable(endpoint, endpoint.inFlight < limit);
    if (endpoint.health.mayTakeCalls(now)) this.suspended.delete(endpoint);
    else this.suspended.add(endpoint);
  }

  /** Returns the slots that the pool would have if no endpoint had failed. */
  getNominalSlots(): number {
    let slots = 0;
    for (const endpoint of this.endpoints) {
      if (endpoint.mayTakeWork()) slots += endpoint.slice;
    }
    return slots;
  }

  /** Re-enables suspended endpoints whose pause is over. */
  refreshSuspended(now: number): void {
    for (const endpoint of this.suspended) this.refresh(endpoint, now);
  }

  /**
   * Ends all pauses after the first result in an outage: endpoints that failed
   * together had a common cause, which is gone.
   */
  endPauses(now: number): void {
    for (const endpoint of this.suspended) {
      endpoint.health.endPause(now);
      this.refresh(endpoint, now);
    }
  }

  /**
   * Returns whether one more endpoint may be excluded for being slow. When many
   * are slow at once, the cause is the load or the kind of work and not the
   * endpoints; excluding them would remove the remaining capacity.
   */
  mayExcludeSlow(): boolean {
    let excluded = 0;
    for (const { health } of this.endpoints) {
      if (health.isSlow || health.isStalled) excluded += 1;
    }
    return excluded < this.endpoints.size * MAX_EXCLUDED_SHARE;
  }

  #setSlots(endpoint: Endpoint, slots: number): void {
    const isHealthy = slots > 0 && !endpoint.health.isOnProbation;
    if (isHealthy !== endpoint.isHealthy) this.healthy += isHealthy ? 1 : -1;
    endpoint.isHealthy = isHealthy;
    if (isHealthy) this.outage.end();
    this.slots += slots - endpoint.slots;
    endpoint.slots = slots;
  }

  #setAvailable(endpoint: Endpoint, isAvailable: boolean): void {
    const wasAvailable = endpoint.availableIndex >= 0;
    if (isAvailable === wasAvailable) return;
    if (isAvailable) {
      endpoint.availableIndex = this.available.push(endpoint) - 1;
      return;
    }
    const last = this.available.pop();
    if (last && last !== endpoint) {
      this.available[endpoint.availableIndex] = last;
      last.availableIndex = endpoint.availableIndex;
    }
    endpoint.availableIndex = -1;
  }
}
