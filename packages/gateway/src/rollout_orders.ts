/**
 * The operator's roll-out orders.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as rollout from "@sardinestep/rollout";
import { getEpoch, getOffset, type ServiceId } from "@sardinestep/types";
import { match } from "ts-pattern";
import { EVENT, type UpdateSource } from "./events.ts";

/** Orders of a service that are remembered, to recognize them after a restore. */
const MAX_KNOWN_ORDERS = 16;

/** What a record is, compared with the orders that are known already. */
type OrderMatch =
  /** Not known. */
  | { readonly kind: "new" }
  /** The order in force, as a restored registry lists it or has it written again. */
  | { readonly kind: "continued"; readonly from: rollout.RolloutOrder }
  /** An earlier order that a restored registry lists again. */
  | { readonly kind: "outdated" };

/** Holds the newest order of each service. */
export class RolloutOrders {
  readonly #events: logger.EventLog;
  readonly #orders = new Map<ServiceId, rollout.RolloutOrder>();
  /** Orders of each service that were applied, the newest last. */
  readonly #known = new Map<ServiceId, readonly rollout.RolloutOrder[]>();
  /** Order that another one continues, by their positions. */
  readonly #continued = new Map<number, number>();

  /** @param events Log of new orders. */
  constructor(events: logger.EventLog) {
    this.#events = events;
  }

  /** Whether a service has an order. */
  has(service: ServiceId): boolean {
    return this.#orders.has(service);
  }

  /** The newest order of every service. */
  getAll(): rollout.RolloutOrder[] {
    return [...this.#orders.values()];
  }

  /** Applies an order unless the same or a newer one of its service is known. */
  apply(order: rollout.RolloutOrder, source: UpdateSource): void {
    const before = this.#orders.get(order.service);
    if (before !== undefined && order.position <= before.position) return;
    match(this.#compareToKnown(order))
      .with({ kind: "outdated" }, () => {})
      .with({ kind: "continued" }, ({ from }) => {
        this.#continued.set(order.position, from.position);
        this.#set(order);
      })
      .with({ kind: "new" }, () => {
        this.#set(order);
        this.#events.write(EVENT.rolloutOrdered, { ...order, source });
      })
      .exhaustive();
  }

  /**
   * Whether an order is an earlier one of the same service that the registry has at
   * another position since it was restored.
   */
  isContinuation(
    order: rollout.RolloutOrder,
    earlier: rollout.RolloutOrder,
  ): boolean {
    let position: number | undefined = order.position;
    while (position !== undefined) {
      if (position === earlier.position) return true;
      position = this.#continued.get(position);
    }
    return false;
  }

  /** Removes the order of a service after the operator has withdrawn it. */
  remove(service: ServiceId): void {
    this.#orders.delete(service);
  }

  /** Removes the orders of all services except the given ones. */
  keep(services: ReadonlySet<ServiceId>): void {
    for (const service of [...this.#orders.keys()]) {
      if (!services.has(service)) this.remove(service);
    }
  }

  /** Removes the orders of earlier epochs, which a restored registry has lost. */
  dropBefore(epoch: number): void {
    for (const { service, position } of this.getAll()) {
      if (getEpoch(position) < epoch) this.remove(service);
    }
  }

  #set(order: rollout.RolloutOrder): void {
    this.#orders.set(order.service, order);
    const known = this.#known.get(order.service) ?? [];
    this.#known.set(order.service, [...known, order].slice(-MAX_KNOWN_ORDERS));
  }

  #compareToKnown(order: rollout.RolloutOrder): OrderMatch {
    const epoch = getEpoch(order.position);
    const earlier = (this.#known.get(order.service) ?? [])
      .filter((known) => getEpoch(known.position) < epoch);
    const current = this.#orders.get(order.service);
    // A copy keeps the offsets of its records.
    const restored = earlier.findLast((known) =>
      getOffset(known.position) === getOffset(order.position) &&
      isSameContent(known, order)
    );
    if (restored !== undefined && restored !== current) {
      return { kind: "outdated" };
    }
    const newest = earlier.at(-1);
    const isContinued = current !== undefined && newest !== undefined &&
      isSameContent(newest, order) &&
      ![...this.#continued.values()].includes(newest.position);
    return isContinued ? { kind: "continued", from: newest } : { kind: "new" };
  }
}

function isSameContent(
  a: rollout.RolloutOrder,
  b: rollout.RolloutOrder,
): boolean {
  return a.target === b.target && a.durationMs === b.durationMs;
}
