/**
 * Batching of pieces into a pool's next call, and reservation of space for pieces
 * that run later.
 *
 * A call has a high fixed cost and an endpoint runs one call at a time, so a pool
 * carries its load only if calls combine pieces of many requests; bursts come close
 * to the throughput of full calls. A few large results fill an endpoint's space,
 * and one request may have more than fit.
 *
 * @module
 */
import type { EndpointId, ZoneId } from "@sardinestep/types";
import type { PoolSpec } from "./model.ts";
import type { QueuedGroup } from "./piece_queue.ts";

/** An endpoint and its free capacity. */
export interface EndpointCapacity {
  readonly endpointId: EndpointId;
  readonly zone: ZoneId;
  /** Space that is neither used nor reserved, in bytes. */
  readonly freeBytes: number;
  /** Most pieces of a call; fewer than the batch size for a probed endpoint. */
  readonly maxPieces: number;
}

/** Which groups may take space that an earlier group lacks. */
export type SpaceRule =
  /** Every group, until a group that is nearly late lacks space. */
  | { readonly kind: "allGroups" }
  /**
   * Groups on time; deferred ones only if they are small. Space is kept free only for
   * groups that are too large to start from what one call's time frees.
   */
  | {
    readonly kind: "lanes";
    readonly deferred: ReadonlySet<QueuedGroup>;
  };

/** Options of {@link planCall}. */
export interface PlanCallOptions {
  /** Queued groups in the order in which they are served. */
  readonly ranked: readonly QueuedGroup[];
  readonly pool: PoolSpec;
  /** The idle endpoint that gets the call. */
  readonly endpoint: EndpointCapacity;
  /** Other endpoints of the pool, busy or idle, where space may be reserved. */
  readonly otherEndpoints: readonly EndpointCapacity[];
  /** Result space of one endpoint, in bytes. */
  readonly capacityBytes: number;
  /** Zones in which the pool has endpoints in use. */
  readonly poolZones: ReadonlySet<ZoneId>;
  /** All groups by default. */
  readonly spaceRule?: SpaceRule;
  readonly now: number;
}

/** Pieces of one group. */
export interface PlannedPieces {
  readonly queued: QueuedGroup;
  readonly pieces: readonly number[];
}

/** Pieces that get space reserved at an endpoint. */
export interface SpaceReservation extends PlannedPieces {
  readonly endpointId: EndpointId;
}

/** The next call, and the space to reserve for the rest of its groups. */
export interface CallPlan {
  readonly pieces: readonly PlannedPieces[];
  readonly reservations: readonly SpaceReservation[];
  /** First group that lacks space at the endpoint, where lanes are planned. */
  readonly lacksSpace?: QueuedGroup;
}

/**
 * Least cross-zone traffic, in bytes, that a group must save to wait for another
 * zone. Inputs count once for each piece that reads them, so those of a later stage
 * exceed the large results of first stages.
 */
const MIN_SAVED_BYTES = 500_000;
/** Least time to spare with which it waits, in milliseconds: about one call. */
const ZONE_WAIT_MS = 200;
/**
 * Time before a group's latest start on time, in milliseconds, from which freed
 * space is kept for it: about one call. Otherwise a group of ten large pieces never
 * starts, since single-piece groups take all freed space.
 */
const STARVATION_MS = 300;
const ALL_GROUPS: SpaceRule = { kind: "allGroups" };
/** Largest share of an endpoint's space for a group beside a starving one. */
const SMALL_GROUP_SHARE = 0.02;
/**
 * Share of an endpoint's space that is freed during one call, at least: results of
 * 60 KB are kept for 0.5 s beside a call of 0.28 s. A group below it that comes first
 * in the order starts with the next call, so no space is kept for it.
 */
const FREED_SHARE = 0.25;

/**
 * Plans the next call of an idle endpoint.
 *
 * Pieces with space reserved here go first. A group starts only if all its pieces
 * have space: at this endpoint, or spread over several where one is too small for
 * it. Pieces beyond this call's size keep their reservation, or wait for the next
 * endpoint of the zone if one has space for them. So every started group can
 * finish, and no two groups wait for each other's space.
 *
 * @param options Groups, pool, endpoints and time.
 * @returns The call's pieces and new reservations; both are empty if nothing fits.
 * @example
 * ```ts
 * const plan = planCall({ ranked, pool, endpoint, otherEndpoints, capacityBytes, poolZones, now });
 * ```
 */
export function planCall(options: PlanCallOptions): CallPlan {
  return new CallPlanner(options).plan();
}

class CallPlanner {
  readonly #options: PlanCallOptions;
  readonly #pieces: PlannedPieces[] = [];
  readonly #reservations: SpaceReservation[] = [];
  readonly #freeBytes: Map<EndpointId, number>;
  #piecesLeft: number;
  /** Largest group that may still start, in bytes. */
  #maxGroupBytes = Infinity;
  /** The same for deferred groups. */
  #maxDeferredBytes = Infinity;
  #lacksSpace: QueuedGroup | undefined;

  constructor(options: PlanCallOptions) {
    const { endpoint, otherEndpoints, pool } = options;
    this.#options = options;
    this.#piecesLeft = Math.min(pool.batchSize, endpoint.maxPieces);
    this.#freeBytes = new Map(
      [endpoint, ...otherEndpoints].map((entry) => [
        entry.endpointId,
        entry.freeBytes,
      ]),
    );
  }

  plan(): CallPlan {
    const { ranked } = this.#options;
    for (const queued of ranked) this.#addReserved(queued);
    for (const queued of ranked) {
      if (this.#piecesLeft === 0) break;
      if (queued.waiting.length > 0 && this.#isEligible(queued)) {
        this.#startGroup(queued);
      }
    }
    return {
      pieces: this.#pieces,
      reservations: this.#reservations,
      ...(this.#lacksSpace === undefined
        ? {}
        : { lacksSpace: this.#lacksSpace }),
    };
  }

  #addReserved(queued: QueuedGroup): void {
    const { endpoint } = this.#options;
    const pieces = queued.reserved.get(endpoint.endpointId) ?? [];
    this.#addPieces(queued, pieces.slice(0, this.#piecesLeft));
  }

  #addPieces(queued: QueuedGroup, pieces: readonly number[]): void {
    if (pieces.length === 0) return;
    this.#piecesLeft -= pieces.length;
    this.#pieces.push({ queued, pieces });
  }

  #startGroup(queued: QueuedGroup): void {
    const { waiting, group } = queued;
    const bytes = Math.max(1, group.resultBytes);
    if (waiting.length * bytes > this.#getMaxGroupBytes(queued)) return;
    const counts = this.#splitPieces(waiting.length, bytes);
    if (counts === undefined) return this.#handleNoSpace(queued);
    const { endpoint } = this.#options;
    let from = 0;
    for (const [endpointId, count] of counts) {
      const pieces = waiting.slice(from, from + count);
      from += count;
      this.#freeBytes.set(
        endpointId,
        this.#getFreeBytes(endpointId) - count * bytes,
      );
      const isCalledEndpoint = endpointId === endpoint.endpointId;
      const calledPieces = isCalledEndpoint
        ? pieces.slice(0, this.#piecesLeft)
        : [];
      this.#addPieces(queued, calledPieces);
      const laterPieces = pieces.slice(calledPieces.length);
      const mayRunElsewhere = calledPieces.length > 0 && counts.size === 1 &&
        this.#fitsElsewhere(laterPieces.length * bytes);
      if (laterPieces.length > 0 && !mayRunElsewhere) {
        this.#reservations.push({ queued, endpointId, pieces: laterPieces });
      }
    }
  }

  /**
   * Whether pieces beyond the call's size fit at another endpoint of the zone.
   *
   * Prevents the rest of a group from waiting for the end of the call with its
   * first pieces while other endpoints become idle: it goes to the first of them,
   * before all groups that have not started.
   */
  #fitsElsewhere(bytes: number): boolean {
    const { otherEndpoints, endpoint } = this.#options;
    return otherEndpoints.some((other) =>
      other.zone === endpoint.zone &&
      this.#getFreeBytes(other.endpointId) >= bytes
    );
  }

  /** Splits pieces over endpoints; undefined if they don't all fit. */
  #splitPieces(
    pieces: number,
    bytes: number,
  ): ReadonlyMap<EndpointId, number> | undefined {
    const { endpoint, otherEndpoints, pool, capacityBytes } = this.#options;
    const isProbe = endpoint.maxPieces < pool.batchSize;
    const maxHere = isProbe ? this.#piecesLeft : pieces;
    const here = Math.min(
      maxHere,
      this.#countFitting(endpoint.endpointId, bytes),
    );
    if (here === 0) return undefined;
    const counts = new Map([[endpoint.endpointId, here]]);
    if (here === pieces) return counts;
    if (!isProbe && pieces * bytes <= capacityBytes) return undefined;
    let left = pieces - here;
    const byFreeBytes = [...otherEndpoints].sort((a, b) =>
      this.#getFreeBytes(b.endpointId) - this.#getFreeBytes(a.endpointId)
    );
    for (const { endpointId } of byFreeBytes) {
      const there = Math.min(left, this.#countFitting(endpointId, bytes));
      if (there > 0) counts.set(endpointId, there);
      left -= there;
    }
    return left === 0 ? counts : undefined;
  }

  #getMaxGroupBytes(queued: QueuedGroup): number {
    const rule = this.#options.spaceRule;
    return rule?.kind === "lanes" && rule.deferred.has(queued)
      ? Math.min(this.#maxGroupBytes, this.#maxDeferredBytes)
      : this.#maxGroupBytes;
  }

  #handleNoSpace(queued: QueuedGroup): void {
    const { capacityBytes, spaceRule = ALL_GROUPS } = this.#options;
    switch (spaceRule.kind) {
      case "allGroups":
        return this.#keepSpace(queued);
      case "lanes": {
        this.#lacksSpace ??= queued;
        if (spaceRule.deferred.has(queued)) return;
        this.#maxDeferredBytes = capacityBytes * SMALL_GROUP_SHARE;
        const bytes = queued.waiting.length * queued.group.resultBytes;
        if (bytes > capacityBytes * FREED_SHARE) this.#keepSpace(queued);
        return;
      }
    }
  }

  /** Keeps free space for a nearly late group at the endpoint with the most. */
  #keepSpace({ group }: QueuedGroup): void {
    const { endpoint, otherEndpoints, now, capacityBytes } = this.#options;
    const timeToSpareMs = group.dueAt - now;
    if (timeToSpareMs < 0 || timeToSpareMs > STARVATION_MS) return;
    const ownBytes = this.#getFreeBytes(endpoint.endpointId);
    const hasMostSpace = otherEndpoints.every((other) =>
      this.#getFreeBytes(other.endpointId) <= ownBytes
    );
    if (hasMostSpace) this.#maxGroupBytes = capacityBytes * SMALL_GROUP_SHARE;
  }

  #isEligible({ group, startedIn }: QueuedGroup): boolean {
    const { endpoint, now, poolZones } = this.#options;
    // The margin is no reason to carry results to another zone.
    const latestMs = group.dueAt + (group.marginMs ?? 0) - now;
    if (latestMs < ZONE_WAIT_MS) return true;
    // Results of one stage are read together, so they are made in one zone.
    if (startedIn !== undefined) {
      return startedIn === endpoint.zone || !poolZones.has(startedIn);
    }
    const mostLocalBytes = Math.max(
      0,
      ...[...poolZones].map((zone) => group.localBytes[zone] ?? 0),
    );
    return mostLocalBytes - (group.localBytes[endpoint.zone] ?? 0) <
      MIN_SAVED_BYTES;
  }

  #countFitting(endpointId: EndpointId, bytes: number): number {
    return Math.floor(this.#getFreeBytes(endpointId) / bytes);
  }

  #getFreeBytes(endpointId: EndpointId): number {
    return this.#freeBytes.get(endpointId) ?? 0;
  }
}
