/**
 * Choice of the endpoint that a request is sent to.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";

/** Options of {@link pickAttemptEndpoint}. */
export interface PickAttemptEndpointOptions
  extends Omit<PickRequestEndpointOptions, "endpoints"> {
  /** Endpoints at which a stream may go on; undefined for all other requests. */
  readonly endpoints: readonly serving.ServingEndpoint[] | undefined;
}

/**
 * Picks the endpoint for the next attempt of a request, of the versions to which the
 * roll-out sends it, or of those at which its stream may go on.
 *
 * @returns Undefined if no endpoint may be used.
 */
export function pickAttemptEndpoint(
  deps:
    & EndpointChoiceDependencies
    & Pick<FlowDependencies, "rollouts" | "endpointTracker">,
  request: RoutedRequest,
  options: PickAttemptEndpointOptions,
): serving.ServingEndpoint | undefined {
  const { endpoints, tried } = options;
  if (endpoints !== undefined) {
    return pickRequestEndpoint(deps, request, { ...options, endpoints });
  }
  const { service, session, requestId } = request;
  const sides = tried.size === 0
    ? deps.rollouts.planSides(service, session?.id ?? requestId)
    : deps.rollouts.planRetrySides(service);
  for (const side of sides) {
    const endpoint = pickRequestEndpoint(deps, request, {
      ...options,
      endpoints: deps.endpointTracker.getUsableEndpoints(service, side),
    });
    if (endpoint !== undefined) return endpoint;
  }
  return undefined;
}

/** What the choice depends on beside the request. */
export interface PickRequestEndpointOptions {
  /** Endpoints that the request may use. */
  readonly endpoints: readonly serving.ServingEndpoint[];
  /** Bytes that the request reads, by the zone that stores them. */
  readonly inputBytes: Readonly<Record<string, number>>;
  /** Endpoints that the request was already sent to. */
  readonly tried: ReadonlySet<string>;
}

/** The parts of the gateway that the choice reads. */
export type EndpointChoiceDependencies = Pick<
  FlowDependencies,
  "endpointTracker" | "zone" | "isContended"
>;

/**
 * Picks the endpoint for the next attempt of a request: by the expected finish on a
 * contended site, by utilization on all others.
 *
 * @returns Undefined if none of the endpoints may be used.
 */
export function pickRequestEndpoint(
  deps: EndpointChoiceDependencies,
  request: Pick<RoutedRequest, "service" | "table" | "session" | "requestId">,
  options: PickRequestEndpointOptions,
): serving.ServingEndpoint | undefined {
  const { endpointTracker } = deps;
  const { service, table, session, requestId } = request;
  const candidates = endpointTracker.getCandidates(
    table.services.get(service),
    options.endpoints,
  );
  const choice = {
    candidates,
    session,
    inputBytes: options.inputBytes,
    ownZone: deps.zone,
    tried: options.tried,
  };
  const { speeds } = endpointTracker;
  const now = performance.now();
  const id = deps.isContended()
    ? serving.pickEndpointBySpeed({
      ...choice,
      requestId,
      usualMs: speeds.getUsualMs(service),
      getSpeed: (endpointId) => speeds.getSpeed(endpointId, requestId, now),
    })
    : serving.pickEndpoint(choice);
  return id === undefined ? undefined : endpointTracker.find(id);
}
