/**
 * Consistent hashing of prompt prefixes to endpoints.
 *
 * @module
 */
import murmurhash from "murmurhash";
import type { Endpoint } from "./endpoint.ts";

/**
 * Points of each endpoint on the ring: enough to divide the ring about evenly,
 * few enough to build a ring of a thousand endpoints quickly.
 */
const POINTS_PER_ENDPOINT = 16;

/** Endpoints at which a prefix may be cached. */
const PREFIX_CANDIDATES = 3;
/** Limit on prefixes with cached candidates; the cache is cleared when full. */
const MAX_PREFIXES = 2_000;

interface Point {
  readonly hash: number;
  readonly endpoint: Endpoint;
}

/**
 * Order of endpoints for each prefix: the same at every entry, so that all fill
 * the same caches, and nearly unchanged when an endpoint is removed.
 */
export class PrefixRing {
  #points: Point[] | undefined;
  readonly #cache = new Map<number, readonly Endpoint[]>();
  readonly #endpoints: ReadonlySet<Endpoint>;

  constructor(endpoints: ReadonlySet<Endpoint>) {
    this.#endpoints = endpoints;
  }

  /** Discards the ring; it is rebuilt before its next use. */
  reset(): void {
    this.#points = undefined;
    this.#cache.clear();
  }

  /** Returns the endpoints that may cache a prefix, preferred ones first. */
  getCandidates(prefixHash: number): readonly Endpoint[] {
    const cached = this.#cache.get(prefixHash);
    if (cached) return cached;
    if (this.#cache.size >= MAX_PREFIXES) this.#cache.clear();
    const candidates = this.#findCandidates(prefixHash);
    this.#cache.set(prefixHash, candidates);
    return candidates;
  }

  #findCandidates(prefixHash: number): readonly Endpoint[] {
    const points = this.#getPoints();
    const candidates: Endpoint[] = [];
    const hash = murmurhash.v3(String(prefixHash));
    const start = findFirstIndex(points, hash);
    for (let step = 0; step < points.length; step++) {
      const endpoint = points[(start + step) % points.length]?.endpoint;
      if (!endpoint || candidates.includes(endpoint)) continue;
      candidates.push(endpoint);
      if (candidates.length === PREFIX_CANDIDATES) break;
    }
    return candidates;
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
  return Array.from({ length: POINTS_PER_ENDPOINT }, (_, index) => ({
    hash: murmurhash.v3(`${endpointId}/${index}`),
    endpoint,
  }));
}

/** Finds the first point at or after a hash by binary search. */
function findFirstIndex(points: readonly Point[], hash: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((points[middle]?.hash ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}
