/**
 * Consistent hashing of prompt prefixes to endpoints.
 *
 * @module
 */
import murmurhash from "murmurhash";
import type { Endpoint } from "./endpoint.ts";

/**
 * Points of each endpoint on the ring: enough that no endpoint owns much more
 * than its part, few enough that a ring of a thousand endpoints is built fast.
 */
const POINTS = 16;

/** Endpoints that a prefix may be cached at. */
const PREFIX_CANDIDATES = 3;
/** Prefixes whose order is remembered; beyond that all are forgotten. */
const MAX_ORDERS = 2_000;

interface Point {
  readonly hash: number;
  readonly endpoint: Endpoint;
}

/**
 * Order of endpoints for each prefix; the same at every entry, so that all of
 * them fill the same caches, and nearly unchanged when an endpoint goes.
 */
export class PrefixRing {
  #points: Point[] | undefined;
  readonly #orders = new Map<number, readonly Endpoint[]>();
  readonly #endpoints: ReadonlySet<Endpoint>;

  constructor(endpoints: ReadonlySet<Endpoint>) {
    this.#endpoints = endpoints;
  }

  /** Has the ring built anew before its next use. */
  reset(): void {
    this.#points = undefined;
    this.#orders.clear();
  }

  /** Gives the first endpoints in the order of a prefix. */
  getOrder(prefixHash: number): readonly Endpoint[] {
    const known = this.#orders.get(prefixHash);
    if (known) return known;
    if (this.#orders.size >= MAX_ORDERS) this.#orders.clear();
    const order = this.#buildOrder(prefixHash);
    this.#orders.set(prefixHash, order);
    return order;
  }

  #buildOrder(prefixHash: number): readonly Endpoint[] {
    const points = this.#getPoints();
    const order: Endpoint[] = [];
    const hash = murmurhash.v3(String(prefixHash));
    const start = findFirst(points, hash);
    for (let step = 0; step < points.length; step++) {
      const endpoint = points[(start + step) % points.length]?.endpoint;
      if (!endpoint || order.includes(endpoint)) continue;
      order.push(endpoint);
      if (order.length === PREFIX_CANDIDATES) break;
    }
    return order;
  }

  #getPoints(): Point[] {
    this.#points ??= [...this.#endpoints]
      .flatMap(buildPoints)
      .sort((a, b) => a.hash - b.hash);
    return this.#points;
  }
}

function buildPoints(endpoint: Endpoint): Point[] {
  const { endpointId } = endpoint.facts;
  return Array.from({ length: POINTS }, (_, index) => ({
    hash: murmurhash.v3(`${endpointId}/${index}`),
    endpoint,
  }));
}

/** Binary search for the first point at or after a hash. */
function findFirst(points: readonly Point[], hash: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((points[middle]?.hash ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}
