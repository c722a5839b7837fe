/**
 * Properties, states and load of endpoints.
 *
 * @module
 */
import type {
  Address,
  EndpointId,
  InstanceId,
  ServiceId,
  ZoneId,
} from "./identity.ts";

/** Kind of work of an endpoint; model engines stream, plain services do not. */
export const ENDPOINT_ROLE = {
  encoder: "encoder",
  retriever: "retriever",
  reranker: "reranker",
  generator: "generator",
  service: "service",
} as const;
export type EndpointRole = (typeof ENDPOINT_ROLE)[keyof typeof ENDPOINT_ROLE];

/**
 * Availability of an endpoint for new calls.
 *
 * - `cold`: just started; limited to {@link EndpointFacts.coldConcurrency}.
 * - `warming`: its limit grows with each finished call.
 * - `warm`: accepts its full concurrency.
 * - `silent`: does not respond; no new calls until a probe succeeds.
 * - `leaving`: finishes its running calls and gets no new ones.
 * - `gone`: no longer listed.
 */
export const ENDPOINT_STATE = {
  cold: "cold",
  warming: "warming",
  warm: "warm",
  silent: "silent",
  leaving: "leaving",
  gone: "gone",
} as const;
export type EndpointState =
  (typeof ENDPOINT_STATE)[keyof typeof ENDPOINT_STATE];

/** Properties and state of an endpoint, without its load. */
export interface EndpointFacts {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly address: Address;
  /** Id of the endpoint's run; it changes on a restart, after which it is cold. */
  readonly instance: InstanceId;
  readonly state: EndpointState;
  /** Maximum concurrent calls while cold, over all entries. */
  readonly coldConcurrency: number;
  /** Maximum concurrent calls when warm, over all entries. */
  readonly warmConcurrency: number;
}

/** Load as reported by the endpoint itself; it lags behind the actual load. */
export interface LoadReport {
  readonly endpointId: EndpointId;
  readonly instance: InstanceId;
  readonly state: EndpointState;
  /** Time of the measurement, by the reader's clock. */
  readonly measuredAt: number;
  /** Calls running at the endpoint, from all entries. */
  readonly running: number;
  /** Calls queued at the endpoint, from all entries. */
  readonly waiting: number;
}
