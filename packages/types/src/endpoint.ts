/**
 * Facts about endpoints, as decisions and controllers see them.
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

/** What an endpoint does; model engines stream, plain services do not. */
export const ENDPOINT_ROLE = {
  encoder: "encoder",
  retriever: "retriever",
  reranker: "reranker",
  generator: "generator",
  service: "service",
} as const;
export type EndpointRole = (typeof ENDPOINT_ROLE)[keyof typeof ENDPOINT_ROLE];

/**
 * How far an endpoint may be used.
 *
 * - `cold`: just started, bears only {@link EndpointFacts.coldConcurrency}.
 * - `warming`: its bound grows with finished calls.
 * - `warm`: bears its full concurrency.
 * - `silent`: does not answer; nothing new is sent until a probe succeeds.
 * - `leaving`: finishes what it has, gets nothing new.
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

/** What is known of an endpoint apart from its load. */
export interface EndpointFacts {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly address: Address;
  /** The endpoint's own run; a new one means it started again and is cold. */
  readonly instance: InstanceId;
  readonly state: EndpointState;
  /** Calls at once that it bears while cold, summed over all entries. */
  readonly coldConcurrency: number;
  /** Calls at once that it bears when warm, summed over all entries. */
  readonly warmConcurrency: number;
}

/** An endpoint's own report of its load; it lags. */
export interface LoadReport {
  readonly endpointId: EndpointId;
  readonly instance: InstanceId;
  readonly state: EndpointState;
  /** When the endpoint measured it, by the reader's clock. */
  readonly measuredAt: number;
  /** Calls running in the endpoint, from all entries. */
  readonly running: number;
  /** Calls waiting in the endpoint, from all entries. */
  readonly waiting: number;
}
