/**
 * Which endpoints of a pool take the next call, and how large a one.
 *
 * The load that this answers: one endpoint of three that takes five times as long
 * holds a whole batch of pieces for a second and a half, and all their requests
 * are late, while the others could have made them.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";

/**
 * How many times slower than the pool's quickest an endpoint is to count as slow.
 * Endpoints of one pool differ by a third; configured times are approximate, so
 * they can't be what one is compared with.
 */
const SLOW_FACTOR = 2.2;
/** Weight of the newest call in an endpoint's ratio. */
const RATIO_WEIGHT = 0.5;
/** A slow endpoint gets a small call this often, to see whether it still is. */
const TRIAL_EVERY_MS = 1_500;
/** Pieces of such a call: few, since they will be late. */
const TRIAL_PIECES = 2;
/** An endpoint that said it was full or had no room is left alone so long. */
const BACK_OFF_MS = 60;

/** An endpoint that may take a call now. */
export interface FreeEndpoint {
  readonly id: EndpointId;
  /** Most pieces; undefined where the pool's own size holds. */
  readonly maxPieces?: number;
}

/** How long a call took. */
export interface CallTime {
  readonly tookMs: number;
  /** What it should take by the configuration. */
  readonly expectedMs: number;
  /** The endpoint answered; otherwise the call was given up or broke. */
  readonly isWhole: boolean;
}

interface EndpointPace {
  isBusy: boolean;
  blockedUntil: number;
  /** Measured over expected time of its calls. */
  ratio: number;
  lastCallAt: number;
}

/** Remembers how quick the endpoints of one pool are and which are busy. */
export class PoolEndpoints {
  readonly #paces = new Map<EndpointId, EndpointPace>();

  /** Endpoints that are as quick as the others, more or less. */
  getQuick(ids: readonly EndpointId[]): EndpointId[] {
    const slowRatio = this.#getSlowRatio(ids);
    return ids.filter((id) => this.#getPace(id).ratio <= slowRatio);
  }

  /** How many times its expected time an endpoint takes; 1 at least. */
  getRatio(id: EndpointId): number {
    return Math.max(1, this.#getPace(id).ratio);
  }

  /**
   * Gives the endpoints that may take a call, quick ones first, of equal ones the
   * one that was idle for longest.
   */
  getFree(ids: readonly EndpointId[], now: number): FreeEndpoint[] {
    const slowRatio = this.#getSlowRatio(ids);
    return ids
      .filter((id) => this.#isFree(id, slowRatio, now))
      .sort((a, b) => this.#compare(a, b))
      .map((id) =>
        this.#getPace(id).ratio > slowRatio
          ? { id, maxPieces: TRIAL_PIECES }
          : { id }
      );
  }

  /** Notes that a call has started. */
  recordStart(id: EndpointId): void {
    this.#getPace(id).isBusy = true;
  }

  /**
   * Notes that it has ended; with a time only if it may have been worked on.
   *
   * Guards against an endpoint that has gone silent: its calls end by the bound
   * on their time and tell no pace of their own, and each would be a full one.
   * One that was broken off early says nothing of the endpoint's pace.
   */
  recordEnd(id: EndpointId, now: number, time?: CallTime): void {
    const pace = this.#getPace(id);
    pace.isBusy = false;
    pace.lastCallAt = now;
    if (time === undefined) return;
    const ratio = time.tookMs / time.expectedMs;
    if (time.isWhole || ratio > pace.ratio) {
      pace.ratio += RATIO_WEIGHT * (ratio - pace.ratio);
    }
  }

  /** Notes that an endpoint was full or had no room for results. */
  recordFull(id: EndpointId, now: number): void {
    this.#getPace(id).blockedUntil = now + BACK_OFF_MS;
  }

  #isFree(id: EndpointId, slowRatio: number, now: number): boolean {
    const pace = this.#getPace(id);
    if (pace.isBusy || pace.blockedUntil > now) return false;
    return pace.ratio <= slowRatio || now - pace.lastCallAt > TRIAL_EVERY_MS;
  }

  #getSlowRatio(ids: readonly EndpointId[]): number {
    const ratios = ids.map((id) => this.#getPace(id).ratio);
    return Math.max(1, Math.min(...ratios)) * SLOW_FACTOR;
  }

  #compare(a: EndpointId, b: EndpointId): number {
    const left = this.#getPace(a);
    const right = this.#getPace(b);
    const byRatio = Math.round(left.ratio * 4) - Math.round(right.ratio * 4);
    return byRatio === 0 ? left.lastCallAt - right.lastCallAt : byRatio;
  }

  #getPace(id: EndpointId): EndpointPace {
    const known = this.#paces.get(id);
    if (known !== undefined) return known;
    const pace = {
      isBusy: false,
      blockedUntil: -Infinity,
      ratio: 1,
      lastCallAt: -Infinity,
    };
    this.#paces.set(id, pace);
    return pace;
  }
}
