/**
 * Selects the shards that run a request's pieces and estimates their wait.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type { ServiceId, ZoneId } from "@sardinestep/types";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";

/** Share of a route's timeout by which the deadlines of first attempts vary. */
const DEADLINE_SPREAD = 0.15;

/** Returns the services that run pieces of a request. */
export function getPieceServices(
  request: RoutedRequest,
): ReadonlySet<ServiceId> {
  const { route, caller } = request;
  return new Set(
    route.stages
      .filter((_, stage) => (caller.pieceCounts[stage] ?? 0) > 0)
      .map((stage) => stage.service),
  );
}

/** Selects the shards for all stages of a request; the choice does not change. */
export function planShards(
  deps: FlowDependencies,
  request: RoutedRequest,
  readerZone: ZoneId | undefined,
): (service: ServiceId) => serving.ShardId {
  const { leaders } = deps.mesh;
  const services = getPieceServices(request);
  const isUnsharded = leaders.getShard(deps.zone) === serving.WHOLE_POOL;
  if (isUnsharded) return () => serving.WHOLE_POOL;
  const graph = createStageGraph(request);
  const estimateZone = (zone: ZoneId): serving.ZoneEstimate => {
    const loads = getPoolLoads(deps, services, () => zone);
    return {
      expectedMs: graph.getExpectedMs(buildStageWaits(request, loads)),
      usablePools: [...loads.values()]
        .filter((load) => load.endpoints > 0).length,
    };
  };
  const zone = serving.pickShardZone({
    zones: new Map(
      [...leaders.zones].map((
        candidate,
      ) => [candidate, estimateZone(candidate)]),
    ),
    pools: services.size,
    readerZone,
    ownZone: deps.zone,
  }) ?? readerZone ?? deps.zone;
  const shards = new Map([...services].map((service) => [
    service,
    leaders.pickShard(service, zone),
  ]));
  return (service) => shards.get(service) ?? zone;
}

function createStageGraph(request: RoutedRequest): serving.StageGraph {
  return new serving.StageGraph({
    stages: request.route.stages,
    pieceCounts: request.caller.pieceCounts,
    services: request.table.services,
  });
}

/** Returns the loads of the given services' pools, where they are known. */
export function getPoolLoads(
  deps: FlowDependencies,
  services: Iterable<ServiceId>,
  getShard: (service: ServiceId) => serving.ShardId,
): ReadonlyMap<ServiceId, serving.PoolLoad> {
  const { leaders } = deps.mesh;
  return new Map([...services].flatMap((service) => {
    const load = leaders.getLoad(service, getShard(service));
    return load === undefined ? [] : [[service, load] as const];
  }));
}

/**
 * Returns a function for the expected wait of a stage, by its pool's load.
 *
 * @param order Which queued groups precede the request; by default those that
 * precede its rank, or all of them if it is a retry after a refusal.
 */
export function buildStageWaits(
  request: RoutedRequest,
  loads: ReadonlyMap<ServiceId, serving.PoolLoad>,
  order: Pick<serving.GroupDemand, "rank" | "isLate"> = {
    rank: request.rank,
    isLate: isRetryAfterRefusal(request),
  },
): (stage: number) => number {
  const { route, caller } = request;
  return (stage) => {
    const { service, resultBytes } = route.stages[stage]!;
    const pieces = caller.pieceCounts[stage] ?? 0;
    const load = loads.get(service);
    return load === undefined ? 0 : serving.getExpectedWait(load, {
      ...order,
      pieces,
      resultBytes,
    });
  };
}

/**
 * Whether a request is a retry after a refusal. Such a caller has less time left
 * than for a first attempt, whose deadline varies by {@link DEADLINE_SPREAD}.
 */
export function isRetryAfterRefusal({ caller, route }: RoutedRequest): boolean {
  const minFirstAttemptMs = route.timeoutMs * (1 - DEADLINE_SPREAD);
  return caller.deadlineMs !== undefined &&
    caller.deadlineMs < minFirstAttemptMs;
}
