/**
 * Plans which model engines should change their role.
 *
 * A pure function; control issues the orders, by one claim holder at a time.
 *
 * @module
 */
import type { EndpointId, ServiceId } from "@sardinestep/types";

/** Load of a pool over a longer period, such as the last minutes. */
export interface PoolLoad {
  readonly service: ServiceId;
  /** Requested work in worker milliseconds per millisecond. */
  readonly demand: number;
  /** Engines of the pool that could serve another pool. */
  readonly engines: readonly EndpointId[];
  /** Capacity of one engine in worker milliseconds per millisecond. */
  readonly engineCapacity: number;
  /** Bytes that an engine must load to serve this pool. */
  readonly modelBytes: number;
}

/** Input of {@link planRoles}. */
export interface RolePlanOptions {
  readonly pools: readonly PoolLoad[];
  /** Expected duration of the present demand in milliseconds. */
  readonly horizonMs: number;
  /** Throughput of the weight store in bytes per millisecond. */
  readonly storeBytesPerMs: number;
  /** Bytes of loads in progress, which the store serves first. */
  readonly pendingBytes: number;
  /** Time from the end of a load until the engine is warm, in milliseconds. */
  readonly warmUpMs: number;
}

/** An engine that should serve another pool. */
export interface RoleChange {
  readonly endpointId: EndpointId;
  readonly from: ServiceId;
  readonly to: ServiceId;
  /** Additional worker milliseconds served until the horizon, less the loss. */
  readonly gainMs: number;
}

/** Planned utilisation of a pool; above it every burst causes queueing. */
const TARGET_UTILISATION = 0.8;
/**
 * Minimum ratio of gain to loss. Demand is an estimate and may change back;
 * without the margin engines would move back and forth and be idle meanwhile.
 */
const MIN_GAIN_RATIO = 2;
/** Engines that stay in a pool: without any its pipelines would stop. */
const MIN_POOL_ENGINES = 1;
/** Maximum changes per plan: engines load one by one while demand changes. */
const MAX_CHANGES_PER_PLAN = 2;

interface PlannedPool {
  readonly load: PoolLoad;
  engines: EndpointId[];
}

/**
 * Plans role changes of engines.
 *
 * Stages scale differently, so one pool may be the bottleneck while another is
 * idle. A change is worthwhile only if the work that the engine serves in the
 * new pool until the horizon outweighs its work in the old one. The new work
 * counts only after the reload from the rate-limited store and the warm-up.
 *
 * @param options Loads of the pools and limits of the store.
 * @returns Changes in the order in which to apply them.
 * @example
 * ```ts
 * const [change] = planRoles({ pools, horizonMs: 600_000, ...store });
 * ```
 */
export function planRoles(options: RolePlanOptions): RoleChange[] {
  const pools = options.pools.map((load): PlannedPool => ({
    load,
    engines: [...load.engines],
  }));
  const changes: RoleChange[] = [];
  let pendingBytes = options.pendingBytes;
  while (changes.length < MAX_CHANGES_PER_PLAN) {
    const change = findBestChange(pools, { ...options, pendingBytes });
    if (!change) return changes;
    changes.push(change);
    pendingBytes += applyChange(pools, change);
  }
  return changes;
}

function findBestChange(
  pools: readonly PlannedPool[],
  options: RolePlanOptions,
): RoleChange | undefined {
  let best: RoleChange | undefined;
  for (const to of pools) {
    for (const from of pools) {
      const change = buildChange(from, to, options);
      if (change && change.gainMs > (best?.gainMs ?? 0)) best = change;
    }
  }
  return best;
}

function buildChange(
  from: PlannedPool,
  to: PlannedPool,
  options: RolePlanOptions,
): RoleChange | undefined {
  const endpointId = from.engines[from.engines.length - 1];
  if (from === to || endpointId === undefined) return undefined;
  if (from.engines.length <= MIN_POOL_ENGINES) return undefined;
  const bytes = options.pendingBytes + to.load.modelBytes;
  const reloadMs = bytes / options.storeBytesPerMs + options.warmUpMs;
  const servingMs = options.horizonMs - reloadMs;
  if (servingMs <= 0) return undefined;
  const gainMs = servingMs * (getServedWork(to, 1) - getServedWork(to, 0));
  const lossMs = options.horizonMs *
    (getServedWork(from, 0) - getServedWork(from, -1));
  if (gainMs <= MIN_GAIN_RATIO * lossMs) return undefined;
  const { service } = from.load;
  return {
    endpointId,
    from: service,
    to: to.load.service,
    gainMs: gainMs - lossMs,
  };
}

/** Returns the work that a pool would serve with `change` more engines. */
function getServedWork(pool: PlannedPool, change: number): number {
  const { demand, engineCapacity } = pool.load;
  const engines = pool.engines.length + change;
  return Math.min(demand, engines * engineCapacity * TARGET_UTILISATION);
}

/** Moves the engine between pools and returns the bytes that it has to load. */
function applyChange(
  pools: readonly PlannedPool[],
  change: RoleChange,
): number {
  let bytes = 0;
  for (const pool of pools) {
    if (pool.load.service === change.from) pool.engines.pop();
    if (pool.load.service !== change.to) continue;
    pool.engines.push(change.endpointId);
    bytes = pool.load.modelBytes;
  }
  return bytes;
}
