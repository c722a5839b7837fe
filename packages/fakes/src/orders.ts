/**
 * Orders to a fake engine, with or without a check of the fencing number.
 *
 * @module
 */
import type { EngineOrder } from "@sardinestep/ports";
import { ENDPOINT_ROLE } from "@sardinestep/types";
import { z } from "zod";
import { waitMs } from "./http.ts";

/** Accepted orders kept for tests. */
const MAX_KEPT_ORDERS = 100;

/** Body of a request that sends an order. */
export const engineOrderSchema = z.strictObject({
  wanted: z.strictObject({
    model: z.string(),
    version: z.string(),
    role: z.enum(ENDPOINT_ROLE),
  }),
  fencing: z.number().int().nonnegative(),
});

/** Options of {@link Orders}. */
export interface OrdersOptions {
  readonly checksFencing: boolean;
  readonly orderMs: number;
}

/** Accepted orders of an engine. */
export class Orders {
  readonly #options: OrdersOptions;
  readonly #accepted: EngineOrder[] = [];
  #highestFencing = -1;

  constructor(options: OrdersOptions) {
    this.#options = options;
  }

  /** Accepted orders, oldest first. */
  get accepted(): readonly EngineOrder[] {
    return this.#accepted;
  }

  /** The latest accepted order; undefined before the first. */
  get latest(): EngineOrder | undefined {
    return this.#accepted[this.#accepted.length - 1];
  }

  /** Accepts an order; undefined if refused for a stale fencing number. */
  async apply(order: EngineOrder): Promise<EngineOrder | undefined> {
    const isStale = order.fencing < this.#highestFencing;
    if (isStale && this.#options.checksFencing) return undefined;
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
    const isChanged = JSON.stringify(order.wanted) !==
      JSON.stringify(this.latest?.wanted);
    this.#accepted.push(order);
    if (this.#accepted.length > MAX_KEPT_ORDERS) this.#accepted.shift();
    if (isChanged) await waitMs(this.#options.orderMs);
    return order;
  }
}
