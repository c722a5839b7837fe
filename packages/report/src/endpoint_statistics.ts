/**
 * Requests by endpoint, and their times to the first event by reported slowdown.
 *
 * @module
 */
import type { EndpointSummary, SlowdownBand } from "./request_report.ts";
import type { Send, TrackedRequest } from "./request_tracker.ts";

/** Least slowdowns of the bands in which first events are compared, in order. */
const BAND_STARTS = [0, 1.25, 2] as const;

/** A mean that is computed incrementally. */
interface Mean {
  sum: number;
  count: number;
}

interface EndpointCounts {
  readonly service: string;
  readonly endpointId: string;
  requests: number;
  readonly slowdown: Mean;
  readonly firstEventMs: Mean;
}

interface BandCounts {
  readonly service: string;
  readonly from?: number;
  readonly firstEventMs: Mean;
}

/** Accumulates what was sent to endpoints. */
export class EndpointStatistics {
  readonly #endpoints = new Map<string, EndpointCounts>();
  readonly #bands = new Map<string, BandCounts>();
  readonly #sentByService = new Map<string, number>();

  /** Adds a request that was sent to an endpoint. */
  addSend({ service }: TrackedRequest, { endpointId, slowdown }: Send): void {
    const counts = this.#getEndpoint(service, endpointId);
    counts.requests += 1;
    this.#sentByService.set(
      service,
      (this.#sentByService.get(service) ?? 0) + 1,
    );
    if (slowdown !== undefined) addTo(counts.slowdown, slowdown);
  }

  /** Adds the time from a send to the first event, in milliseconds. */
  addFirstEvent(
    { service }: TrackedRequest,
    { endpointId, slowdown }: Send,
    tookMs: number,
  ): void {
    addTo(this.#getEndpoint(service, endpointId).firstEventMs, tookMs);
    const from = findBand(slowdown);
    const key = `${service}\0${from}`;
    const band = this.#bands.get(key) ??
      { service, from, firstEventMs: { sum: 0, count: 0 } };
    this.#bands.set(key, band);
    addTo(band.firstEventMs, tookMs);
  }

  /** Returns all endpoints, by service and name. */
  getEndpoints(): EndpointSummary[] {
    return [...this.#endpoints.values()].map((counts): EndpointSummary => ({
      service: counts.service,
      endpointId: counts.endpointId,
      requests: counts.requests,
      share: counts.requests / this.#sentByService.get(counts.service)!,
      slowdown: getMean(counts.slowdown),
      firstEventMs: getMean(counts.firstEventMs),
    })).sort((a, b) =>
      a.service.localeCompare(b.service) ||
      a.endpointId.localeCompare(b.endpointId, "en", { numeric: true })
    );
  }

  /** Returns the bands that have streams; those without a slowdown come last. */
  getBands(): SlowdownBand[] {
    return [...this.#bands.values()].map((band): SlowdownBand => ({
      service: band.service,
      from: band.from,
      streams: band.firstEventMs.count,
      firstEventMs: band.firstEventMs.sum / band.firstEventMs.count,
    })).sort((a, b) =>
      a.service.localeCompare(b.service) ||
      (a.from ?? Infinity) - (b.from ?? Infinity)
    );
  }

  #getEndpoint(service: string, endpointId: string): EndpointCounts {
    const key = `${service}\0${endpointId}`;
    const counts = this.#endpoints.get(key) ?? {
      service,
      endpointId,
      requests: 0,
      slowdown: { sum: 0, count: 0 },
      firstEventMs: { sum: 0, count: 0 },
    };
    this.#endpoints.set(key, counts);
    return counts;
  }
}

function findBand(slowdown: number | undefined): number | undefined {
  return slowdown === undefined
    ? undefined
    : BAND_STARTS.findLast((from) => slowdown >= from);
}

function addTo(mean: Mean, value: number): void {
  mean.sum += value;
  mean.count += 1;
}

function getMean({ sum, count }: Mean): number | undefined {
  return count === 0 ? undefined : sum / count;
}
