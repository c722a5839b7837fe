/**
 * Division of a pool's queue into groups that are served on time and deferred ones.
 *
 * Answers a queue longer than the pool can serve on time: served by due time alone,
 * every group ages evenly until all are late.
 *
 * @module
 */

import type { CustomerUsage } from "./customer_usage.ts";

/** A queued group as {@link planLanes} sees it. */
export interface LaneGroup {
  readonly id: string;
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  readonly customer?: string;
  /** Endpoint time of its pieces that are not in a call yet, in milliseconds. */
  readonly workMs: number;
  /** Latest start that is on time, as monotonic time in milliseconds. */
  readonly dueAt: number;
  /** Latest start that reaches the caller, as monotonic time in milliseconds. */
  readonly expiresAt: number;
  /** Whether some of its pieces are made or in a call. */
  readonly isStarted: boolean;
}

/** Options of {@link planLanes}. */
export interface PlanLanesOptions<G extends LaneGroup> {
  readonly groups: readonly G[];
  /** Time until each endpoint that takes calls is free, in milliseconds. */
  readonly freeInMs: readonly number[];
  /** Time of one full call, in milliseconds. */
  readonly fullCallMs: number;
  /** Work that the pool did recently, by customer. */
  readonly usage: CustomerUsage;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** The queue in service order: `onTime` before `deferred`. */
export interface Lanes<G extends LaneGroup> {
  /**
   * Started groups, then groups that can start by their due time, and late groups
   * at their last chance that delay none of equal or more urgent rank.
   */
  readonly onTime: readonly G[];
  /** Other groups that can still reach their caller, by expiry. */
  readonly deferred: readonly G[];
}

/** A group in the plan; numbers replace map look-ups in the inner loop. */
interface Entry<G> {
  readonly group: G;
  readonly startBy: number;
  readonly isLate: boolean;
  readonly customerIndex: number;
  isKept: boolean;
}

/**
 * Time before a late group's expiry at which it counts as its last chance, beside
 * one full call, in milliseconds: two queue checks of 25 ms.
 */
const LAST_CHANCE_MARGIN_MS = 50;

/** Share of a call that is taken as a rounding error of sums of work. */
const ROUNDING = 1e-6;

/**
 * Plans which groups are served on time.
 *
 * Goes through the groups by latest start. As soon as the last piece of one can't
 * start in time behind those kept so far, kept groups are deferred: the least urgent rank first; within a
 * rank late groups at their last chance, then groups of the customer with the most
 * work, then the group with the most work. If every group can start in time, none is
 * compared with another.
 *
 * A late group at its last chance does not go first unconditionally: under lasting
 * overload every deferred group gets there, and groups that could be on time would
 * all wait behind them.
 *
 * @param options Groups, capacity, usage and time.
 * @returns Both lanes in service order; groups past their expiry are in neither.
 * @example
 * ```ts
 * const { onTime, deferred } = planLanes({ groups, freeInMs: [0, 40], fullCallMs: 276, usage, now });
 * ```
 */
export function planLanes<G extends LaneGroup>(
  options: PlanLanesOptions<G>,
): Lanes<G> {
  const { groups, now, fullCallMs, usage } = options;
  const started: G[] = [];
  const deferred: G[] = [];
  const entries: Entry<G>[] = [];
  const customers = new Map<string | undefined, number>();
  for (const group of groups) {
    if (group.isStarted) {
      started.push(group);
      continue;
    }
    if (group.expiresAt < now) continue;
    const isLate = group.dueAt < now;
    const lastChanceAt = group.expiresAt - fullCallMs - LAST_CHANCE_MARGIN_MS;
    if (isLate && lastChanceAt > now) {
      deferred.push(group);
      continue;
    }
    const startBy = isLate ? group.expiresAt : group.dueAt;
    const customerIndex = customers.get(group.customer) ?? customers.size;
    customers.set(group.customer, customerIndex);
    entries.push({ group, startBy, isLate, customerIndex, isKept: true });
  }
  started.sort((a, b) => a.dueAt - b.dueAt);
  entries.sort((a, b) => a.startBy - b.startBy);
  const startedMs = started.reduce((sum, { workMs }) => sum + workMs, 0);
  keepFeasible(entries, {
    startedMs,
    getStart: createCallStarts(options),
    customerMs: [...customers.keys()]
      .map((customer) => usage.getWorkMs(customer, now)),
  });
  const onTime = started;
  for (const { group, isKept } of entries) {
    (isKept ? onTime : deferred).push(group);
  }
  deferred.sort((a, b) => a.expiresAt - b.expiresAt);
  return { onTime, deferred };
}

/** Capacity and work at the start of a plan. */
interface PlanState {
  /** Work of started groups, in milliseconds. */
  readonly startedMs: number;
  /** Returns the start of the call that contains the end of some work. */
  readonly getStart: (untilMs: number) => number;
  /** Work by customer: used recently, and kept in this plan. */
  readonly customerMs: number[];
}

/**
 * Returns a function for the start of the call that contains the end of some work,
 * if full calls start one after the other wherever an endpoint is free.
 *
 * Work divided by the number of endpoints is too early when calls start in bunches:
 * after a bunch no endpoint is free for the time of a whole call.
 */
function createCallStarts(
  { freeInMs, fullCallMs, now }: PlanLanesOptions<LaneGroup>,
): (untilMs: number) => number {
  const firstStarts = freeInMs.length === 0
    ? [0]
    : freeInMs.map((ms) => Math.max(0, ms)).sort((a, b) => a - b);
  return (untilMs) => {
    const call = Math.max(0, Math.ceil(untilMs / fullCallMs - ROUNDING) - 1);
    const round = Math.floor(call / firstStarts.length);
    return now + firstStarts[call % firstStarts.length]! + round * fullCallMs;
  };
}

function keepFeasible<G extends LaneGroup>(
  entries: readonly Entry<G>[],
  { startedMs, getStart, customerMs }: PlanState,
): void {
  let keptMs = startedMs;
  for (const [index, entry] of entries.entries()) {
    const { workMs } = entry.group;
    customerMs[entry.customerIndex]! += workMs;
    keptMs += workMs;
    while (entry.isKept && getStart(keptMs) > entry.startBy) {
      const dropped = pickDeferred(entries, index, customerMs);
      dropped.isKept = false;
      keptMs -= dropped.group.workMs;
      customerMs[dropped.customerIndex]! -= dropped.group.workMs;
    }
  }
}

/** Picks the kept entry, up to and including an index, that is deferred next. */
function pickDeferred<G extends LaneGroup>(
  entries: readonly Entry<G>[],
  last: number,
  customerMs: readonly number[],
): Entry<G> {
  let worst = entries[last]!;
  for (let index = 0; index < last; index++) {
    const entry = entries[index]!;
    if (entry.isKept && isDeferredBefore(entry, worst, customerMs)) {
      worst = entry;
    }
  }
  return worst;
}

function isDeferredBefore<G extends LaneGroup>(
  a: Entry<G>,
  b: Entry<G>,
  customerMs: readonly number[],
): boolean {
  if (a.group.rank !== b.group.rank) return a.group.rank > b.group.rank;
  if (a.isLate !== b.isLate) return a.isLate;
  if (a.customerIndex !== b.customerIndex) {
    const workA = customerMs[a.customerIndex]!;
    const workB = customerMs[b.customerIndex]!;
    if (workA !== workB) return workA > workB;
  }
  return a.group.workMs > b.group.workMs;
}
