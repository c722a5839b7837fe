/**
 * Orders to an engine stand-in, with and without a fencing check.
 *
 * @module
 */
import type { EngineOrder } from "@sardinestep/ports";
import { ENDPOINT_ROLE } from "@sardinestep/types";
import { z } from "zod";
import { waitMs } from "./http.ts";

/** Orders that are remembered for tests. */
const MAX_REMEMBERED = 100;

/** An order as sent. */
export const engineOrderSchema = z.strictObject({
  wanted: z.strictObject({
    model: z.string(),
    version: z.string(),
    role: z.enum(ENDPOINT_ROLE),
  }),
  fencing: z.number().int().nonnegative(),
});

/** How an engine treats orders. */
export interface OrdersOptions {
  readonly checksFencing: boolean;
  readonly orderMs: number;
}

/** What is in force in an engine. */
export class Orders {
  readonly #options: OrdersOptions;
  readonly #accepted: EngineOrder[] = [];
  #highestFencing = -1;

  constructor(options: OrdersOptions) {
    this.#options = options;
  }

  /** Orders taken, oldest first. */
  get accepted(): readonly EngineOrder[] {
    return this.#accepted;
  }

  /** The order in force, undefined before the first. */
  get inForce(): EngineOrder | undefined {
    return this.#accepted[this.#accepted.length - 1];
  }

  /** Takes an order; undefined where its fencing number is old. */
  async apply(order: EngineOrder): Promise<EngineOrder | undefined> {
    const isOld = order.fencing < this.#highestFencing;
    if (isOld && this.#options.checksFencing) return undefined;
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
    const isNew = JSON.stringify(order.wanted) !==
      JSON.stringify(this.inForce?.wanted);
    this.#accepted.push(order);
    if (this.#accepted.length > MAX_REMEMBERED) this.#accepted.shift();
    if (isNew) await waitMs(this.#options.orderMs);
    return order;
  }
}
