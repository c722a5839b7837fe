/**
 * The endpoints of one service with the work that waits for them.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "@sardinestep/types";
import { Backlog } from "./backlog.ts";
import type { Endpoint } from "./endpoint.ts";
import { RecentRefusals } from "./return_time.ts";
import { StageQueue } from "./stage_queue.ts";

/** Endpoints and waiting work of a service. */
export class Pool {
  readonly service: ServiceId;
  readonly endpoints = new Set<Endpoint>();
  /** Endpoints with room for a call. */
  readonly open: Endpoint[] = [];
  readonly queue = new StageQueue();
  readonly backlog: Backlog;
  readonly refusals = new RecentRefusals(() => this.slots);
  /** Calls at once that this entry may have in the whole pool. */
  slots = 0;
  /** Calls of this entry that run in the pool. */
  inFlight = 0;

  constructor(
    service: ServiceId,
    getWeight: (customer: CustomerId) => number,
  ) {
    this.service = service;
    this.backlog = new Backlog(getWeight);
  }

  /** Adds an endpoint. */
  add(endpoint: Endpoint): void {
    this.endpoints.add(endpoint);
  }

  /** Removes an endpoint; its running calls go on. */
  remove(endpoint: Endpoint): void {
    this.endpoints.delete(endpoint);
    this.#setSlots(endpoint, 0);
    this.#setOpen(endpoint, false);
  }

  /** Brings slots and open endpoints in line after an endpoint has changed. */
  refresh(endpoint: Endpoint): void {
    if (!this.endpoints.has(endpoint)) return;
    const limit = endpoint.getLimit();
    this.#setSlots(endpoint, limit);
    this.#setOpen(endpoint, endpoint.inFlight < limit);
  }

  #setSlots(endpoint: Endpoint, slots: number): void {
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
