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

/** Requests that were lost with one crash of an endpoint. */
export interface EndpointLoss {
  readonly endpoint: serving.ServingEndpoint;
  readonly runs: readonly LostRun[];
  /** Steady time of the first of them. */
  readonly at: number;
}

/** What {@link EndpointLosses} needs. */
export interface EndpointLossesOptions {
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  readonly handleLoss: (loss: EndpointLoss) => void;
}

/** Connections of one crash break within it, in milliseconds. */
const GATHER_MS = 50;

/** Gathers the requests that are lost with one crash of an endpoint. */
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
    const at = performance.now();
    setTimeout(() => this.#finish(endpoint, at), GATHER_MS).unref();
  }

  #finish(endpoint: serving.ServingEndpoint, at: number): void {
    const { id, service } = endpoint;
    const runs = this.#gathered.get(id) ?? [];
    this.#gathered.delete(id);
    this.#options.handleLoss({ endpoint, runs, at });
    this.#options.events.write(EVENT.endpointLost, {
      endpointId: id,
      service,
      requests: runs.map((one) => ({
        ...one,
        ageMs: Math.round(one.ageMs),
      })),
    });
  }
}
