/**
 * What a scenario of the simulation is made of.
 *
 * @module
 */
import type {
  CustomerId,
  CustomerSpec,
  EndpointId,
  EndpointRole,
  PipelineSpec,
  ServiceId,
  ZoneId,
} from "@sardinestep/types";

/** One simulated endpoint. */
export interface SimEndpointSpec {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  /** Calls that run at once; more wait inside the endpoint. */
  readonly concurrency: number;
  readonly coldConcurrency: number;
  /** Calls that must finish before its cold bound begins to grow. */
  readonly warmCalls: number;
  /** Prompt prefixes that its cache holds; 0 without a cache. */
  readonly cachedPrefixes: number;
}

/** How sizes of requests are spread. */
export type SizeSpec =
  | { readonly kind: "log_normal"; readonly sigma: number }
  /** Unit size, but for a share of long ones. */
  | {
    readonly kind: "mixed";
    readonly longShare: number;
    readonly longSize: number;
  };

/** Requests of one pipeline. */
export interface WorkloadSpec {
  readonly pipeline: PipelineSpec;
  /** Arrivals a second at a moment of the run. */
  getRate(atMs: number): number;
  readonly maxRate: number;
  /** Share of the requests by customer; sums to 1. */
  readonly customers: Readonly<Record<CustomerId, number>>;
  readonly sizes: SizeSpec;
  /** Distinct prompt prefixes; 0 without any. */
  readonly prefixes: number;
}

/** How an endpoint answers calls. */
export type FailureMode =
  | "none"
  /** Connections fail. */
  | "unreachable"
  /** Says no at once. */
  | "refusing"
  /** Breaks each call half way. */
  | "breaking"
  /** Takes calls and never answers. */
  | "hanging";

/** Something that happens to endpoints during a run. */
export type Fault =
  | {
    readonly kind: "set_slowness";
    readonly at: number;
    readonly endpointIds: readonly EndpointId[];
    readonly factor: number;
  }
  | {
    readonly kind: "set_failure";
    readonly at: number;
    readonly endpointIds: readonly EndpointId[];
    readonly mode: FailureMode;
  }
  /** Restarts without an announcement other than by its reports. */
  | {
    readonly kind: "turn_cold";
    readonly at: number;
    readonly endpointIds: readonly EndpointId[];
  }
  | { readonly kind: "zone_out"; readonly at: number; readonly zone: ZoneId }
  | { readonly kind: "zone_in"; readonly at: number; readonly zone: ZoneId };

/** A scenario; the same seed gives the same arrivals for every policy. */
export interface Scenario {
  readonly name: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  readonly zones: readonly ZoneId[];
  readonly endpoints: readonly SimEndpointSpec[];
  readonly customers: readonly CustomerSpec[];
  readonly workloads: readonly WorkloadSpec[];
  readonly faults: readonly Fault[];
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** Share of load reports that never arrive. */
  readonly reportLoss: number;
  /** Share of calls that stall for ten times their time. */
  readonly stallShare: number;
  /** Share of the entries' requests that go to the first entry; 0 spreads evenly. */
  readonly skewToFirstEntry: number;
  /** Entries that a customer's requests come to; all for those not named. */
  readonly homes: Readonly<Record<CustomerId, readonly number[]>>;
  /** Whether slices follow the demand, planned anew each second. */
  readonly isSlicedByDemand: boolean;
}
