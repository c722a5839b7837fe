/**
 * Speed of endpoints as observed by this VM, and what it sent to them.
 *
 * @module
 */
import * as endpointSpeed from "@sardinestep/endpoint_speed";
import type * as serving from "@sardinestep/serving";
import type { EndpointId, ServiceId } from "@sardinestep/types";
import type { EndpointLoad } from "./ports.ts";

/**
 * Usual time to the first event before any is observed, in ms: engines of the two
 * contended deployments take 64 and 110 ms.
 */
const ASSUMED_FIRST_EVENT_MS = 100;
/** Weight of the newest answer in a service's usual time. */
const NEWEST_TIME_WEIGHT = 0.05;

/** Fields of a log line on the speed of an endpoint. */
export interface SpeedLogFields {
  /** Estimated multiple of the usual time, on which the choice was based. */
  readonly slowdown: number;
  /** Multiple that the endpoint last reported. */
  readonly reportedSlowdown?: number;
  readonly reportAgeMs?: number;
}

/** Keeps the speeds of endpoints and the usual times of services. */
export class EndpointSpeeds {
  readonly #speeds = new endpointSpeed.HostSpeeds();
  readonly #sentSinceReport = new Map<EndpointId, number>();
  readonly #usualMs = new Map<ServiceId, number>();
  #hasReports = false;

  /** Whether any endpoint has reported the speed of its host. */
  get hasReports(): boolean {
    return this.#hasReports;
  }

  /** Records that a request is sent to an endpoint. */
  recordSend(id: EndpointId): void {
    this.#sentSinceReport.set(id, (this.#sentSinceReport.get(id) ?? 0) + 1);
  }

  /** Records the load that an endpoint reported. */
  recordLoad(id: EndpointId, load: EndpointLoad, now: number): void {
    this.#sentSinceReport.delete(id);
    if (load.slowdown === undefined) return;
    if (this.#speeds.recordReport(id, load.slowdown, now)) {
      this.#hasReports = true;
    }
  }

  /**
   * Records the time to the first event of a request.
   *
   * @param slowdown Slowdown that was expected when the request was sent.
   */
  recordFirstEvent(
    endpoint: serving.ServingEndpoint,
    firstEventMs: number,
    slowdown: number,
  ): void {
    const usualMs = this.getUsualMs(endpoint.service);
    this.#speeds.recordRatio(
      endpoint.id,
      firstEventMs / usualMs,
      performance.now(),
    );
    const newestMs = firstEventMs / slowdown;
    this.#usualMs.set(
      endpoint.service,
      usualMs + NEWEST_TIME_WEIGHT * (newestMs - usualMs),
    );
  }

  /** Returns a service's usual time to the first event, in milliseconds. */
  getUsualMs(service: ServiceId): number {
    return this.#usualMs.get(service) ?? ASSUMED_FIRST_EVENT_MS;
  }

  /** Returns how long work takes at an endpoint, as a multiple of the usual time. */
  getSlowdown(id: EndpointId, now: number): number {
    return this.#speeds.getSlowdown(id, now);
  }

  /**
   * Records figures that another VM passed on.
   *
   * @param builtAt Earliest time at which the message may have been built.
   */
  recordShared(
    speeds: readonly endpointSpeed.SharedSpeed[],
    builtAt: number,
  ): void {
    this.#speeds.recordShared(speeds, builtAt);
  }

  /** Returns figures to pass on to other VMs. */
  getShared(source: endpointSpeed.ShareSource): endpointSpeed.SharedSpeed[] {
    return this.#speeds.getShared(performance.now(), source);
  }

  /** Returns what the choice of an endpoint for a request needs to know of one. */
  getSpeed(
    id: EndpointId,
    requestId: string,
    now: number,
  ): serving.EndpointSpeed {
    const isOwnOnly = endpointSpeed.isPlacedByOwnEvidence(requestId);
    return {
      slowdown: isOwnOnly
        ? this.#speeds.getOwnSlowdown(id, now)
        : this.#speeds.getSlowdown(id, now),
      sentSinceReport: this.#sentSinceReport.get(id) ?? 0,
    };
  }

  /** Builds the log fields on the speed of an endpoint. */
  buildLogFields(id: EndpointId, now: number): SpeedLogFields {
    const report = this.#speeds.findReport(id, now);
    return {
      slowdown: Math.round(this.getSlowdown(id, now) * 100) / 100,
      reportedSlowdown: report?.slowdown,
      reportAgeMs: report && Math.round(now - report.at),
    };
  }

  /** Removes endpoints that are gone. */
  keep(ids: ReadonlySet<EndpointId>): void {
    this.#speeds.keep(ids);
    for (const id of this.#sentSinceReport.keys()) {
      if (!ids.has(id)) this.#sentSinceReport.delete(id);
    }
  }
}
