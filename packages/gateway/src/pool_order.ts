/**
 * Order in which a leader serves its queue, with lanes where overload control applies.
 *
 * @module
 */
import * as overload from "@sardinestep/overload";
import * as serving from "@sardinestep/serving";
import type { EndpointId } from "@sardinestep/types";
import type { ActiveGroup } from "./active_group.ts";
import type { ReportedLoad } from "./leader_table.ts";

/** Customers in a report; with more, the views of leaders grow by kilobytes. */
const REPORTED_CUSTOMERS = 16;
/**
 * Time for which a plan is reused while no group arrives and no call starts, in
 * milliseconds. Released results trigger a dispatch each; due times are tens of
 * milliseconds apart.
 */
const PLAN_REUSE_MS = 10;

/** What {@link PoolOrder} needs. */
export interface PoolOrderOptions {
  /** Whether overload control applies. */
  readonly isContended: () => boolean;
  /** Finds the load of the shard that an earlier leader reported last. */
  readonly findReportedLoad: () => ReportedLoad | undefined;
}

/** The queue and the endpoints that serve it. */
export interface QueueState {
  readonly queue: readonly ActiveGroup[];
  readonly pool: serving.PoolSpec;
  /** Endpoints that take calls. */
  readonly endpointIds: readonly EndpointId[];
  readonly now: number;
}

/** A call that starts. */
export interface OrderedCall {
  readonly endpointId: EndpointId;
  readonly plan: readonly serving.PlannedPieces[];
  readonly expectedMs: number;
}

/** The queue in service order, and which groups may take scarce space. */
export interface RankedQueue {
  readonly ranked: readonly ActiveGroup[];
  readonly spaceRule?: serving.SpaceRule;
}

/** A queued group as the plan sees it. */
interface LaneEntry extends overload.LaneGroup {
  readonly queued: ActiveGroup;
}

interface LanePlan extends RankedQueue {
  readonly deferred: ReadonlySet<serving.QueuedGroup>;
  readonly plannedAt: number;
  readonly newest: ActiveGroup | undefined;
}

/** Orders a queue and counts the work by customer. */
export class PoolOrder {
  readonly #options: PoolOrderOptions;
  readonly #usage = new overload.CustomerUsage();
  readonly #pieceWork = new overload.PieceWork();
  /** Since when an idle endpoint has waited for space. */
  readonly #waitingSince = new Map<EndpointId, number>();
  /** Expected end of the call that runs at an endpoint. */
  readonly #busyUntil = new Map<EndpointId, number>();
  #plan: LanePlan | undefined;
  #deferredCount = 0;

  /** @param options When lanes are planned, and earlier reports. */
  constructor(options: PoolOrderOptions) {
    this.#options = options;
  }

  /** Whether lanes are planned. */
  get isOn(): boolean {
    return this.#options.isContended();
  }

  /** Groups deferred by the last plan; undefined without lanes. */
  get deferredCount(): number | undefined {
    return this.isOn ? this.#deferredCount : undefined;
  }

  /** Sorts the queue by the order in which it is served. */
  rank(state: QueueState): RankedQueue {
    if (!this.isOn) {
      return { ranked: serving.rankQueue(state.queue, state.now) };
    }
    return this.#planLanes(state);
  }

  /** Returns what the estimate of the load needs beside the queue. */
  planLoad(
    state: QueueState,
  ): Pick<serving.EstimateLoadOptions, "isKeptOnTime"> {
    if (!this.isOn) return {};
    const { deferred } = this.#planLanes(state);
    return { isKeptOnTime: (queued) => !deferred.has(queued) };
  }

  /** Returns what a next leader starts from. */
  getReport(now: number): Pick<serving.PoolLoad, "usage"> {
    if (!this.isOn) return {};
    return { usage: this.#usage.getLargest(REPORTED_CUSTOMERS, now) };
  }

  /** Whether an idle endpoint waits for space instead of starting a small call. */
  isWaitingForSpace(
    endpointId: EndpointId,
    { pieces, lacksSpace }: serving.CallPlan,
    pool: serving.PoolSpec,
    space: serving.ResultSpace,
    now: number,
  ): boolean {
    if (!this.isOn || lacksSpace === undefined || pieces.length === 0) {
      this.#waitingSince.delete(endpointId);
      return false;
    }
    const since = this.#waitingSince.get(endpointId) ?? now;
    const freedBytesPerMs = space.getUsedBytes(endpointId) /
      space.getHoldMs(pool);
    const decision = overload.decideCallStart({
      pieces: pieces.reduce((sum, planned) => sum + planned.pieces.length, 0),
      callMs: pool.callMs,
      pieceMs: pool.pieceMs,
      freedPiecesPerMs: freedBytesPerMs /
        Math.max(1, lacksSpace.group.resultBytes),
      waitedMs: now - since,
    });
    if (decision.kind === "start") return false;
    this.#waitingSince.set(endpointId, since);
    return true;
  }

  /** Records the start of a call: its expected end and its customers' work. */
  recordStart(
    { endpointId, plan, expectedMs }: OrderedCall,
    pool: serving.PoolSpec,
    now: number,
  ): void {
    this.#waitingSince.delete(endpointId);
    if (!this.isOn) return;
    this.#busyUntil.set(endpointId, now + expectedMs);
    this.#plan = undefined;
    this.#adoptUsage(now);
    const pieceMs = this.#getPieceMs(pool);
    for (const { queued, pieces } of plan) {
      const { customer } = queued.group;
      this.#usage.record(customer, pieces.length * pieceMs, now);
    }
  }

  /** Records the end of a call, with its duration if it left groups waiting. */
  recordEnd(
    endpointId: EndpointId,
    pool: serving.PoolSpec,
    backlogged?: { readonly tookMs: number; readonly pieces: number },
  ): void {
    this.#busyUntil.delete(endpointId);
    if (!this.isOn || backlogged === undefined) return;
    const { tookMs, pieces } = backlogged;
    this.#pieceWork.record(tookMs, pieces * serving.getFullCallPieceMs(pool));
  }

  #planLanes(state: QueueState): LanePlan {
    const { queue, pool, endpointIds, now } = state;
    const newest = queue.at(-1);
    const last = this.#plan;
    const isReusable = last !== undefined && last.newest === newest &&
      now - last.plannedAt < PLAN_REUSE_MS;
    if (isReusable) return last;
    this.#adoptUsage(now);
    const pieceMs = this.#getPieceMs(pool);
    const fullCallMs = pieceMs * pool.batchSize;
    const lanes = overload.planLanes({
      groups: queue.map((queued) => buildEntry(queued, pieceMs)),
      freeInMs: endpointIds.map((id) => (this.#busyUntil.get(id) ?? now) - now),
      fullCallMs,
      usage: this.#usage,
      now,
    });
    const deferred = lanes.deferred.map(({ queued }) => queued);
    const onTime = lanes.onTime.map(({ queued }) => queued);
    const deferredSet = new Set<serving.QueuedGroup>(deferred);
    this.#plan = {
      ranked: [...onTime, ...deferred],
      spaceRule: { kind: "lanes", deferred: deferredSet },
      deferred: deferredSet,
      plannedAt: now,
      newest,
    };
    this.#deferredCount = deferred.length;
    return this.#plan;
  }

  #adoptUsage(now: number): void {
    if (this.#usage.size > 0) return;
    const reported = this.#options.findReportedLoad();
    if (reported?.load.usage === undefined) return;
    this.#usage.adopt(reported.load.usage, reported.ageMs, now);
  }

  #getPieceMs(pool: serving.PoolSpec): number {
    return serving.getFullCallPieceMs(pool) * this.#pieceWork.getRatio();
  }
}

function buildEntry(queued: ActiveGroup, pieceMs: number): LaneEntry {
  const { group, waiting, reserved, startedIn } = queued;
  const pieces = waiting.length + serving.countReserved(queued);
  return {
    queued,
    id: group.requestId,
    rank: group.rank,
    customer: group.customer,
    workMs: pieces * pieceMs,
    dueAt: group.dueAt,
    expiresAt: group.expiresAt,
    isStarted: startedIn !== undefined || reserved.size > 0,
  };
}
