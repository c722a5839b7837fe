/**
 * State that a decider keeps between events.
 *
 * @module
 */
import type {
  CallId,
  EndpointId,
  RequestId,
  ServiceId,
  ZoneId,
} from "@sardinestep/types";
import type { DecisionAction } from "./action.ts";
import { Customers } from "./customers.ts";
import { Demand } from "./demand.ts";
import type { Endpoint } from "./endpoint.ts";
import { LatencyModel } from "./latency_model.ts";
import { Pool } from "./pool.ts";
import { Timers } from "./timers.ts";
import type { TrackedCall, TrackedRequest } from "./tracked.ts";

/** Options of a decider. */
export interface DeciderOptions {
  /** Prefix of all call ids, distinct for each entry. */
  readonly callIdPrefix?: string;
  /** The failure domain of this entry, preferred in placement. */
  readonly zone?: ZoneId;
}

/** State of one decider; modified in place. */
export class State {
  readonly callIdPrefix: string;
  readonly zone: ZoneId | undefined;
  readonly customers = new Customers();
  readonly demand = new Demand();
  readonly latency = new LatencyModel();
  readonly timers = new Timers();
  readonly endpoints = new Map<EndpointId, Endpoint>();
  readonly pools = new Map<ServiceId, Pool>();
  readonly requests = new Map<RequestId, TrackedRequest>();
  readonly calls = new Map<CallId, TrackedCall>();
  /** Pools in which a change since the last event may allow a call to start. */
  readonly changedPools = new Set<Pool>();
  zonesOut: ReadonlySet<ZoneId> = new Set();
  /** Time of the current event. */
  now = 0;
  /** Actions collected for the current event. */
  actions: DecisionAction[] = [];
  callCount = 0;
  #random = 0.5;

  constructor(options: DeciderOptions) {
    this.callIdPrefix = options.callIdPrefix ?? "call-";
    this.zone = options.zone;
  }

  /** Sets the random number of the current event. */
  setRandom(random: number): void {
    this.#random = random;
  }

  /**
   * Returns a number in [0, 1) that differs at each call: an event carries only
   * one random number, and several choices must not use the same one.
   */
  getRandom(): number {
    const GOLDEN_RATIO = 0.618033988749895;
    this.#random = (this.#random + GOLDEN_RATIO) % 1;
    return this.#random;
  }

  /** Returns the pool of a service, creating an empty one if needed. */
  getPool(service: ServiceId): Pool {
    const existing = this.pools.get(service);
    if (existing) return existing;
    const pool = new Pool(
      service,
      (customer) => this.customers.getWeight(customer),
    );
    this.pools.set(service, pool);
    return pool;
  }
}
