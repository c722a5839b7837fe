/**
 * A pool under a given load, for the tests of this package.
 *
 * @module
 */
import { CustomerUsage } from "./customer_usage.ts";
import { type LaneGroup, planLanes } from "./plan_lanes.ts";

const ENDPOINTS = 4;
const BATCH_SIZE = 20;
const CALL_MS = 150;
const PIECE_MS = 2;
const FULL_CALL_MS = CALL_MS + BATCH_SIZE * PIECE_MS;
const PIECE_WORK_MS = FULL_CALL_MS / BATCH_SIZE;
/** Pieces a second that the pool makes in full calls. */
export const CAPACITY = ENDPOINTS * BATCH_SIZE * 1_000 / FULL_CALL_MS;

/** Requests of one kind. */
export interface Source {
  readonly name: string;
  readonly rank: number;
  readonly customer: string;
  /** Offered pieces a second. */
  readonly offered: number;
  readonly pieces: number;
  readonly timeoutMs: number;
}

/** What became of a source's pieces. */
export interface SourceResult {
  inTime: number;
  late: number;
  expired: number;
}

interface Group extends LaneGroup {
  readonly source: Source;
}

/** Orders a queue for the next call. */
export type Order = (
  queue: readonly Group[],
  freeInMs: readonly number[],
  now: number,
) => readonly Group[];

const OBJECTIVE_MS = 800;

/** Creates the order of planned lanes. */
export function createLaneOrder(usage = new CustomerUsage()): Order {
  return (groups, freeInMs, now) => {
    const { onTime, deferred } = planLanes({
      groups,
      freeInMs,
      fullCallMs: FULL_CALL_MS,
      usage,
      now,
    });
    const ranked = [...onTime, ...deferred];
    for (const group of takeCall(ranked)) {
      usage.record(group.customer, group.workMs, now);
    }
    return ranked;
  };
}

/** Serves a load in calls for some time and counts what callers get. */
export function runBurst(
  sources: readonly Source[],
  durationMs: number,
  order: Order,
): Record<string, SourceResult> {
  const results: Record<string, SourceResult> = Object.fromEntries(
    sources.map(({ name }) => [name, { inTime: 0, late: 0, expired: 0 }]),
  );
  let queue: Group[] = [];
  const owed = sources.map(() => 0);
  const freeAt = Array.from(
    { length: ENDPOINTS },
    (_, index) => index * FULL_CALL_MS / ENDPOINTS,
  );
  for (let now = 0; now < durationMs; now++) {
    sources.forEach((source, index) => {
      owed[index]! += source.offered / 1_000;
      if (owed[index]! < source.pieces) return;
      owed[index]! -= source.pieces;
      queue.push(buildBurstGroup(source, now));
    });
    const endpoint = freeAt.findIndex((at) => at <= now);
    if (endpoint === -1 || queue.length === 0) continue;
    for (const { source, expiresAt } of queue) {
      if (expiresAt < now) results[source.name]!.expired += source.pieces;
    }
    queue = queue.filter(({ expiresAt }) => expiresAt >= now);
    const freeInMs = freeAt.map((at) => at - now);
    const called = takeCall(order(queue, freeInMs, now));
    const pieces = called.reduce((sum, { source }) => sum + source.pieces, 0);
    freeAt[endpoint] = now + CALL_MS + pieces * PIECE_MS;
    for (const { source, dueAt } of called) {
      results[source.name]![now <= dueAt ? "inTime" : "late"] += source.pieces;
    }
    const taken = new Set(called);
    queue = queue.filter((group) => !taken.has(group));
  }
  return results;
}

function buildBurstGroup(source: Source, now: number): Group {
  return {
    source,
    id: `${source.name}-${now}`,
    rank: source.rank,
    customer: source.customer,
    workMs: source.pieces * PIECE_WORK_MS,
    dueAt: now + OBJECTIVE_MS - FULL_CALL_MS,
    expiresAt: now + source.timeoutMs - FULL_CALL_MS,
    isStarted: false,
  };
}

function takeCall(ranked: readonly Group[]): Group[] {
  let left = BATCH_SIZE;
  return ranked.filter(({ source: { pieces } }) => {
    if (pieces > left) return false;
    left -= pieces;
    return true;
  });
}
