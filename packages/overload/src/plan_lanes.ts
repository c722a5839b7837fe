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

/** A group in the plan, with what the inner loop compares as plain numbers. */
interface Entry<G> {
  readonly group: G;
  readonly startBy: number;
  /** Twice the rank, plus one for a late group; larger is deferred first. */
  readonly deferOrder: number;
  readonly customerIndex: number;
  readonly workMs: number;
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
 * work, then the group that is due last. If every group can start in time, none is
 * compared with another.
 *
 * Groups of one customer are not distinguished by their work: with the largest deferred
 * first, large requests were on time for 0.47 of their pieces and small ones for all,
 * at 1.4 times the capacity.
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
    entries.push({
      group,
      startBy,
      deferOrder: 2 * group.rank + (isLate ? 1 : 0),
      customerIndex,
      workMs: group.workMs,
      isKept: true,
    });
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
  const kept: Entry<G>[] = [];
  let keptMs = startedMs;
  for (const entry of entries) {
    // Deferring less urgent groups for it would make them late and gain nothing.
    const leastMs = startedMs + entry.workMs + countMoreUrgentMs(kept, entry);
    if (getStart(leastMs) > entry.startBy) {
      entry.isKept = false;
      continue;
    }
    kept.push(entry);
    customerMs[entry.customerIndex]! += entry.workMs;
    keptMs += entry.workMs;
    while (entry.isKept && getStart(keptMs) > entry.startBy) {
      const [deferred] = kept.splice(findDeferredIndex(kept, customerMs), 1);
      deferred!.isKept = false;
      keptMs -= deferred!.workMs;
      customerMs[deferred!.customerIndex]! -= deferred!.workMs;
    }
  }
}

function countMoreUrgentMs(
  kept: readonly Entry<LaneGroup>[],
  { deferOrder }: Entry<LaneGroup>,
): number {
  let sumMs = 0;
  for (const other of kept) {
    if (other.deferOrder < deferOrder) sumMs += other.workMs;
  }
  return sumMs;
}

/** Finds the kept entry that is deferred next; of equal ones the last to be due. */
function findDeferredIndex(
  kept: readonly Entry<LaneGroup>[],
  customerMs: readonly number[],
): number {
  let worstIndex = kept.length - 1;
  for (let index = worstIndex - 1; index >= 0; index--) {
    if (isDeferredBefore(kept[index]!, kept[worstIndex]!, customerMs)) {
      worstIndex = index;
    }
  }
  return worstIndex;
}

function isDeferredBefore(
  a: Entry<LaneGroup>,
  b: Entry<LaneGroup>,
  customerMs: readonly number[],
): boolean {
  if (a.deferOrder !== b.deferOrder) return a.deferOrder > b.deferOrder;
  return customerMs[a.customerIndex]! > customerMs[b.customerIndex]!;
}
