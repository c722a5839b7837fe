/**
 * Requests whose connections an endpoint closed under them.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as quarantine from "@sardinestep/quarantine";
import type * as serving from "@sardinestep/serving";
import { EVENT } from "./events.ts";

/** A request that an endpoint had when its connection was closed. */
export interface LostRun {
  readonly requestId: string;
  readonly fingerprint: quarantine.Fingerprint;
  /** Time since it was sent there, in milliseconds. */
  readonly ageMs: number;
}

/** What {@link EndpointLosses} needs. */
export interface EndpointLossesOptions {
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
}

/** Connections of one crash break within it, in milliseconds. */
const GATHER_MS = 50;

/** Gathers what one crash of an endpoint takes along. */
export class EndpointLosses {
  readonly #options: EndpointLossesOptions;
  readonly #gathered = new Map<string, LostRun[]>();

  /** @param options The log and the metrics. */
  constructor(options: EndpointLossesOptions) {
    this.#options = options;
  }

  /** Notes requests that were lost together. */
  record(endpoint: serving.ServingEndpoint, runs: readonly LostRun[]): void {
    const { id, service } = endpoint;
    this.#options.metrics.count("endpoint_disconnects_total", { service });
    const known = this.#gathered.get(id);
    if (known !== undefined) return void known.push(...runs);
    this.#gathered.set(id, [...runs]);
    setTimeout(() => this.#finish(endpoint), GATHER_MS).unref();
  }

  #finish({ id, service }: serving.ServingEndpoint): void {
    const requests = this.#gathered.get(id) ?? [];
    this.#gathered.delete(id);
    this.#options.events.write(EVENT.endpointLost, {
      endpointId: id,
      service,
      requests: requests.map((one) => ({
        ...one,
        ageMs: Math.round(one.ageMs),
      })),
    });
  }
}
