/**
 * Configuration by the operator and registration data of endpoints and VMs, in a
 * platform-independent form. Adapters decode their platform's records into these
 * types.
 *
 * @module
 */
import type {
  Address,
  CustomerId,
  EndpointId,
  ServiceId,
  ZoneId,
} from "@sardinestep/types";

/** How often a request may be executed. */
export const ROUTE_KIND = {
  /** Any number of times. */
  idempotent: "idempotent",
  /** At most once. */
  atMostOnce: "atMostOnce",
  /** The answer is an event stream; at most once unless it is resumable. */
  stream: "stream",
} as const;
/** A value of {@link ROUTE_KIND}. */
export type RouteKind = typeof ROUTE_KIND[keyof typeof ROUTE_KIND];

/** A service and its weight among the targets of a route. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** Preparatory work of a request, split into pieces. */
export interface StageSpec {
  readonly service: ServiceId;
  /** Indexes of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Size of one result, in bytes, as estimated by the operator. */
  readonly resultBytes: number;
}

/** Matching, targets and limits of a class of requests. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time to the answer or a stream's first event, in milliseconds. */
  readonly objectiveMs: number;
  /**
   * How long callers of a stream wait for its first event before they disconnect,
   * in milliseconds; unset for other routes.
   */
  readonly patienceMs?: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly StageSpec[];
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether a stream may continue at another endpoint after its last event. */
  readonly isResumable: boolean;
}

/** Batching properties of a service; each value is for one endpoint. */
export interface PoolSpec {
  /** Most pieces in one call. */
  readonly batchSize: number;
  /** Fixed cost of a call, in milliseconds. */
  readonly callMs: number;
  /** Cost of each piece of a call, in milliseconds; differs by stage. */
  readonly pieceMs: number;
  /** Space for results, in bytes. */
  readonly roomBytes: number;
  /** How long an unreleased result is kept, in milliseconds. */
  readonly resultTtlMs: number;
}

/** A service with interchangeable endpoints. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Warm-up time after an endpoint's start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that an endpoint accepts during its warm-up. */
  readonly coldPerSecond: number;
  readonly pool?: PoolSpec;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer and its API keys. */
export interface CustomerKeys {
  readonly name: CustomerId;
  readonly apiKeys: readonly string[];
  /** Takes precedence over the route's priority if set. */
  readonly priority?: number;
}

/** An accepted configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no API key. */
  readonly customers?: readonly CustomerKeys[];
}

/** Registration record of an endpoint. */
export interface ServingEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining warm-up time at registration, in milliseconds. */
  readonly coldMs: number;
  /** Unix time of its start, in milliseconds; changes with each restart. */
  readonly bornMs?: number;
  /** Software version, if it is known. */
  readonly version?: string;
  /** Counts the records of this process of the endpoint; larger is newer. */
  readonly sequence?: number;
}

/** Registration record of a VM. */
export interface ServingMember {
  readonly vmId: string;
  readonly zone: ZoneId;
  /** Address of its JSON-RPC server. */
  readonly rpc: Address;
  /** Address of its tunnel server; unset if it relays no connections. */
  readonly relay?: Address;
  /** Available processor cores; VMs with more cores rank first as leaders. */
  readonly cores: number;
}
