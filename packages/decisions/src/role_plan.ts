/**
 * Which model engines should change their role.
 *
 * A pure plan; orders are given by control, one claimant at a time.
 *
 * @module
 */
import type { EndpointId, ServiceId } from "@sardinestep/types";

/** Load of a pool over a long time, such as the last minutes. */
export interface PoolLoad {
  readonly service: ServiceId;
  /** Worker milliseconds for each millisecond that are asked for. */
  readonly demand: number;
  /** Engines of the pool that could serve another one. */
  readonly engines: readonly EndpointId[];
  /** Worker milliseconds for each millisecond that one engine bears. */
  readonly engineCapacity: number;
  /** Bytes that an engine must load to serve this pool. */
  readonly modelBytes: number;
}

/** What {@link planRoles} is given. */
export interface RolePlanOptions {
  readonly pools: readonly PoolLoad[];
  /** How long the present demand is expected to last, in milliseconds. */
  readonly horizonMs: number;
  /** What the weight store gives, in bytes for each millisecond. */
  readonly storeBytesPerMs: number;
  /** Bytes that are being loaded already and go first. */
  readonly bytesAhead: number;
  /** Time from loaded to warm in milliseconds. */
  readonly warmUpMs: number;
}

/** An engine that should serve another pool. */
export interface RoleChange {
  readonly endpointId: EndpointId;
  readonly from: ServiceId;
  readonly to: ServiceId;
  /** Worker milliseconds that callers gain until the horizon. */
  readonly gainMs: number;
}

/** A pool keeps so much room; a busier one has queues at every burst. */
const TARGET_FILL = 0.8;
/**
 * The gain must be so many times the loss. Demand is a guess and changes back;
 * without the margin engines would go to and fro and serve nobody meanwhile.
 */
const MIN_GAIN_RATIO = 2;
/** The last engine of a pool stays: without any its pipelines would stop. */
const MIN_ENGINES = 1;
/** Orders in one plan: they load one after the other, and demand changes. */
const MAX_CHANGES = 2;

interface PlannedPool {
  readonly load: PoolLoad;
  engines: EndpointId[];
}

/**
 * Plans changes of roles.
 *
 * Made for stages that scale differently: a pool stays the bottleneck while
 * another idles. A change pays only when the work that the engine serves there
 * until the horizon outweighs what it would have served here, counted from the
 * end of the reload through the rate-limited store and the warm-up.
 *
 * @param options Loads of the pools and limits of the store.
 * @returns Changes in the order in which they should be made.
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
  let bytesAhead = options.bytesAhead;
  while (changes.length < MAX_CHANGES) {
    const change = findBestChange(pools, { ...options, bytesAhead });
    if (!change) return changes;
    changes.push(change);
    bytesAhead += applyChange(pools, change);
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
  if (from.engines.length <= MIN_ENGINES) return undefined;
  const bytes = options.bytesAhead + to.load.modelBytes;
  const reloadMs = bytes / options.storeBytesPerMs + options.warmUpMs;
  const usefulMs = options.horizonMs - reloadMs;
  if (usefulMs <= 0) return undefined;
  const gainMs = usefulMs * (getServed(to, 1) - getServed(to, 0));
  const lossMs = options.horizonMs * (getServed(from, 0) - getServed(from, -1));
  if (gainMs <= MIN_GAIN_RATIO * lossMs) return undefined;
  const { service } = from.load;
  return {
    endpointId,
    from: service,
    to: to.load.service,
    gainMs: gainMs - lossMs,
  };
}

/** Work that a pool serves with engines more or fewer. */
function getServed(pool: PlannedPool, change: number): number {
  const { demand, engineCapacity } = pool.load;
  const engines = pool.engines.length + change;
  return Math.min(demand, engines * engineCapacity * TARGET_FILL);
}

/** Moves the engine and gives the bytes that it has to load. */
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
