/**
 * Pauses that overloaded endpoints ask this VM for.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { ServingEndpoint } from "./model.ts";

/** A requested pause. */
export interface PauseRequest {
  readonly pauseMs: number;
  /** Monotonic time of the answer that requested it. */
  readonly now: number;
}

interface KnownPause {
  /** Unix time of the endpoint's start, in ms; a restart ends the pause. */
  readonly bornMs?: number;
  /** Monotonic time of its end. */
  readonly until: number;
}

/**
 * Remembers until when each endpoint accepts nothing from this VM.
 *
 * A pause outlives the record of its endpoint, which may be registered again by the
 * same process.
 */
export class EndpointPauses {
  readonly #pauses = new Map<EndpointId, KnownPause>();

  /** Returns the time until an endpoint's pause ends, in milliseconds. */
  getWaitMs({ id, bornMs }: ServingEndpoint, now: number): number {
    const known = this.#pauses.get(id);
    if (known === undefined || known.bornMs !== bornMs) return 0;
    return Math.max(0, known.until - now);
  }

  /**
   * Records a pause. A later answer may extend it, but not end it.
   *
   * @returns Whether the endpoint was not paused before.
   * @example
   * ```ts
   * pauses.record(endpoint, { pauseMs: 3_000, now: 0 }); // true
   * pauses.getWaitMs(endpoint, 1_000); // 2_000
   * ```
   */
  record(endpoint: ServingEndpoint, { pauseMs, now }: PauseRequest): boolean {
    const { id, bornMs } = endpoint;
    const known = this.#pauses.get(id);
    // An answer of an earlier process may arrive late.
    if (known !== undefined && (known.bornMs ?? 0) > (bornMs ?? 0)) {
      return false;
    }
    const waitMs = this.getWaitMs(endpoint, now);
    const until = now + Math.max(waitMs, pauseMs);
    this.#pauses.set(id, { bornMs, until });
    return waitMs === 0 && pauseMs > 0;
  }

  /** Forgets the pauses that have ended. */
  dropEnded(now: number): void {
    for (const [id, { until }] of this.#pauses) {
      if (until <= now) this.#pauses.delete(id);
    }
  }
}
