/**
 * Choice of the endpoint that a request is sent to.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";

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
