/**
 * Selection of a pool's endpoints for the next call, and the size of the call.
 *
 * If one endpoint of three takes five times as long, a full call to it occupies a
 * batch of pieces for a second and a half and makes their requests late.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";

/**
 * Ratio to the pool's fastest endpoint from which an endpoint counts as slow.
 * Endpoints of a pool differ by a third; configured times are approximate, so they
 * can't serve as the reference.
 */
const SLOW_FACTOR = 2.2;
/** Weight of the newest call in the moving average of an endpoint's ratio. */
const NEWEST_RATIO_WEIGHT = 0.5;
/** Interval of small probe calls to a slow endpoint. */
const PROBE_INTERVAL_MS = 1_500;
/** Pieces of a probe call: few, since they will be late. */
const PROBE_PIECES = 2;
/** Pause after an endpoint reported that it was busy or out of space. */
const FULL_BACKOFF_MS = 60;

/** An endpoint that may get a call now. */
export interface IdleEndpoint {
  readonly id: EndpointId;
  /** Most pieces of the call; undefined for the pool's batch size. */
  readonly maxPieces?: number;
}

/** Duration of a call. */
export interface CallTiming {
  readonly tookMs: number;
  /** Expected duration by the configuration. */
  readonly expectedMs: number;
  /** Whether the endpoint answered; otherwise the call timed out or failed. */
  readonly isAnswered: boolean;
}

interface EndpointSpeed {
  isBusy: boolean;
  blockedUntil: number;
  /** Moving average of measured over expected duration. */
  ratio: number;
  lastCallAt: number;
  /** Whether the duration of the running call counts only if it is answered. */
  isDropped: boolean;
}

/** Tracks the speed and availability of a pool's endpoints. */
export class PoolEndpoints {
  readonly #speeds = new Map<EndpointId, EndpointSpeed>();

  /** Returns the endpoints that aren't slow. */
  getFast(ids: readonly EndpointId[]): EndpointId[] {
    const slowRatio = this.#getSlowRatio(ids);
    return ids.filter((id) => this.#getSpeed(id).ratio <= slowRatio);
  }

  /** Returns the ratio of measured to expected duration; at least 1. */
  getSlowdown(id: EndpointId): number {
    return Math.max(1, this.#getSpeed(id).ratio);
  }

  /**
   * Returns the endpoints that may get a call, fast ones first and the longest idle
   * first among equals.
   */
  getIdle(ids: readonly EndpointId[], now: number): IdleEndpoint[] {
    const slowRatio = this.#getSlowRatio(ids);
    return ids
      .filter((id) => this.#isFree(id, slowRatio, now))
      .sort((a, b) => this.#compare(a, b))
      .map((id) =>
        this.#getSpeed(id).ratio > slowRatio
          ? { id, maxPieces: PROBE_PIECES }
          : { id }
      );
  }

  /** Records the start of a call. */
  recordStart(id: EndpointId): void {
    const speed = this.#getSpeed(id);
    speed.isBusy = true;
    speed.isDropped = false;
  }

  /**
   * Records the end of a call, with its duration if the endpoint may have worked on
   * it.
   *
   * A call that timed out gives no exact duration, but at least its timeout.
   * Counting that prevents an unresponsive endpoint from getting one full call
   * after the other. A call that failed early says nothing about the endpoint's
   * speed.
   */
  recordEnd(id: EndpointId, now: number, time?: CallTiming): void {
    const speed = this.#getSpeed(id);
    speed.isBusy = false;
    speed.lastCallAt = now;
    const isDropped = speed.isDropped && !time?.isAnswered;
    if (time === undefined || isDropped) return;
    const ratio = time.tookMs / time.expectedMs;
    if (time.isAnswered || ratio > speed.ratio) {
      speed.ratio += NEWEST_RATIO_WEIGHT * (ratio - speed.ratio);
    }
  }

  /**
   * Drops what is known of an endpoint's speed, also from a call that is running: the
   * path to it was lost, and its calls timed out.
   */
  dropSpeed(id: EndpointId): void {
    const speed = this.#speeds.get(id);
    if (speed === undefined) return;
    speed.ratio = 1;
    speed.isDropped = true;
  }

  /** Records that an endpoint was busy or had no space for results. */
  recordFull(id: EndpointId, now: number): void {
    this.#getSpeed(id).blockedUntil = now + FULL_BACKOFF_MS;
  }

  #isFree(id: EndpointId, slowRatio: number, now: number): boolean {
    const speed = this.#getSpeed(id);
    if (speed.isBusy || speed.blockedUntil > now) return false;
    return speed.ratio <= slowRatio ||
      now - speed.lastCallAt > PROBE_INTERVAL_MS;
  }

  #getSlowRatio(ids: readonly EndpointId[]): number {
    const ratios = ids.map((id) => this.#getSpeed(id).ratio);
    return Math.max(1, Math.min(...ratios)) * SLOW_FACTOR;
  }

  #compare(a: EndpointId, b: EndpointId): number {
    const left = this.#getSpeed(a);
    const right = this.#getSpeed(b);
    const byRatio = Math.round(left.ratio * 4) - Math.round(right.ratio * 4);
    return byRatio === 0 ? left.lastCallAt - right.lastCallAt : byRatio;
  }

  #getSpeed(id: EndpointId): EndpointSpeed {
    const known = this.#speeds.get(id);
    if (known !== undefined) return known;
    const speed = {
      isBusy: false,
      blockedUntil: -Infinity,
      ratio: 1,
      lastCallAt: -Infinity,
      isDropped: false,
    };
    this.#speeds.set(id, speed);
    return speed;
  }
}
