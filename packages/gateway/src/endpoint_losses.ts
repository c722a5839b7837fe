/**
 * Collects requests whose connections an endpoint closed before an answer.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as quarantine from "@sardinestep/quarantine";
import type * as serving from "@sardinestep/serving";
import { EVENT } from "./events.ts";

/** A request that was running when its endpoint closed the connection. */
export interface LostRequest {
  readonly requestId: string;
  readonly fingerprint: quarantine.Fingerprint;
  /** Parts of its prompt that other requests may share, by the caller's ids. */
  readonly parts?: readonly string[];
  readonly partKeys?: readonly quarantine.PartKey[];
  /** Time since the request was sent to the endpoint, in milliseconds. */
  readonly ageMs: number;
}

/** The requests that were lost in one crash of an endpoint. */
export interface EndpointLoss {
  readonly endpoint: serving.ServingEndpoint;
  readonly requests: readonly LostRequest[];
  /** Monotonic time of the first lost request, in milliseconds. */
  readonly at: number;
}

/** Options of {@link EndpointLossCollector}. */
export interface EndpointLossCollectorOptions {
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  readonly handleLoss: (loss: EndpointLoss) => void;
}

/** Time within which all connections close after a crash, in milliseconds. */
const CRASH_GROUPING_MS = 50;

/** Groups the requests that are lost in one crash of an endpoint. */
export class EndpointLossCollector {
  readonly #options: EndpointLossCollectorOptions;
  readonly #pendingByEndpoint = new Map<string, LostRequest[]>();

  /** @param options The log, the metrics and the receiver of losses. */
  constructor(options: EndpointLossCollectorOptions) {
    this.#options = options;
  }

  /** Records requests that were lost with one connection. */
  record(
    endpoint: serving.ServingEndpoint,
    requests: readonly LostRequest[],
  ): void {
    const { id, service } = endpoint;
    this.#options.metrics.count("endpoint_disconnects_total", { service });
    const pending = this.#pendingByEndpoint.get(id);
    if (pending !== undefined) return void pending.push(...requests);
    this.#pendingByEndpoint.set(id, [...requests]);
    const at = performance.now();
    setTimeout(() => this.#finish(endpoint, at), CRASH_GROUPING_MS).unref();
  }

  #finish(endpoint: serving.ServingEndpoint, at: number): void {
    const { id, service } = endpoint;
    const requests = this.#pendingByEndpoint.get(id) ?? [];
    this.#pendingByEndpoint.delete(id);
    this.#options.handleLoss({ endpoint, requests, at });
    this.#options.events.write(EVENT.endpointLost, {
      endpointId: id,
      service,
      requests: requests.map((request) => ({
        ...request,
        ageMs: Math.round(request.ageMs),
      })),
    });
  }
}
