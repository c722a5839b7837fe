/**
 * Everything that a decider keeps between events.
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

/** What a decider is made with. */
export interface DeciderOptions {
  /** Begins every call id, so that ids of several entries differ. */
  readonly callIdPrefix?: string;
  /** The failure domain of this entry, which is used first. */
  readonly zone?: ZoneId;
}

/** State of one decider; changed in place. */
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
  /** Pools where a call may be startable since the last event. */
  readonly changedPools = new Set<Pool>();
  zonesOut: ReadonlySet<ZoneId> = new Set();
  /** Moment of the event that is being handled. */
  now = 0;
  /** Actions of the event that is being handled. */
  actions: DecisionAction[] = [];
  callCount = 0;
  #random = 0.5;

  constructor(options: DeciderOptions) {
    this.callIdPrefix = options.callIdPrefix ?? "call-";
    this.zone = options.zone;
  }

  /** Takes in the random number of an event. */
  setRandom(random: number): void {
    this.#random = random;
  }

  /**
   * Gives a number in [0, 1) that differs from one question to the next: an
   * event carries just one, and several choices of it must not be alike.
   */
  getRandom(): number {
    const GOLDEN_RATIO = 0.618033988749895;
    this.#random = (this.#random + GOLDEN_RATIO) % 1;
    return this.#random;
  }

  /** Gives the pool of a service, an empty one for a service without any. */
  getPool(service: ServiceId): Pool {
    const known = this.pools.get(service);
    if (known) return known;
    const pool = new Pool(
      service,
      (customer) => this.customers.getWeight(customer),
    );
    this.pools.set(service, pool);
    return pool;
  }
}
