/**
 * Admission control by the predicted finish of a request.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import { REQUEST_CLASS, type RequestFacts } from "@sardinestep/types";
import type { Pool } from "./pool.ts";
import { getRetryAfterMs } from "./retry_after.ts";
import { GUARANTEED_SHARE } from "./stage_queue.ts";
import type { State } from "./state.ts";
import { getStageSize } from "./tracked.ts";

/** Refusal of a request of which nothing has been sent. */
export interface AdmissionRefusal {
  readonly code: CodeName;
  /** Delay after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Time and random number for {@link findRefusal}. */
export interface AdmissionOptions {
  readonly now: number;
  readonly random: number;
}

/**
 * Share of the time until the deadline that the predicted finish may use. The
 * rest is a reserve for later arrivals that are served first, by deadline or
 * class. A queue filled without it would serve every request slightly too late.
 */
const USABLE_TIME_SHARE = 0.75;
/**
 * Limit on the waiting requests of one pool. Predicted waiting time normally
 * limits the queue long before; this bounds memory while nothing is served.
 */
const MAX_QUEUED_REQUESTS = 4_000;

/**
 * Finds the reason to refuse a request, if any; does not change the state.
 *
 * Work that cannot finish in time is refused before any of it runs. Otherwise,
 * under saturation or with a bottleneck in a late stage, a queue of requests
 * builds up that are all answered too late, and early stages spend worker time
 * on them.
 *
 * The return value is plain data and not a `Result`: an `Err` records a stack
 * trace, which is most expensive when most requests are refused.
 *
 * @param state State of the decider, only read.
 * @param facts The request.
 * @param options Time and random number of the check.
 * @returns The refusal, `undefined` if the request is admitted.
 */
export function findRefusal(
  state: State,
  facts: RequestFacts,
  options: AdmissionOptions,
): AdmissionRefusal | undefined {
  const { now, random } = options;
  const pools = facts.stages.slice(facts.firstStage)
    .map((stage) => state.getPool(stage.service));
  const buildRefusal = (
    code: CodeName,
    pool: Pool | undefined,
    lateMs: number,
  ) => ({
    code,
    retryAfterMs: getRetryAfterMs(pool, { now, lateMs, random }),
  });

  if (!state.customers.mayAddRequest(facts.customer)) {
    return buildRefusal("CUSTOMER_LIMIT", pools[0], 0);
  }
  const unavailable = pools.find((pool, index) =>
    isUnavailable(pool, index === 0)
  );
  if (unavailable) return buildRefusal("STAGE_UNAVAILABLE", unavailable, 0);
  const full = pools.find((pool) => isFull(pool, facts));
  if (full) return buildRefusal("QUEUE_FULL", full, 0);
  const prediction = predictFinish(state, facts, now);
  const latestFinishAt = now + USABLE_TIME_SHARE * (facts.deadlineAt - now);
  if (prediction.finishAt <= latestFinishAt) return undefined;
  const hasOutage = prediction.slowest?.outage.isActive === true;
  const code = hasOutage ? "STAGE_UNAVAILABLE" : "DEADLINE_OUT_OF_REACH";
  return buildRefusal(
    code,
    prediction.slowest,
    prediction.finishAt - latestFinishAt,
  );
}

/**
 * Returns whether a pool admits no requests now. During an outage, requests may
 * wait for their first stage, since no work is lost if the wait is in vain; a
 * later stage gets only one request, which probes whether it works again.
 */
function isUnavailable(pool: Pool, isFirst: boolean): boolean {
  if (!pool.outage.isActive) return pool.slots === 0;
  if (isFirst) return pool.getNominalSlots() === 0;
  return pool.slots === 0 || pool.inFlight + pool.queue.length > 0;
}

/**
 * Returns whether the queue is full for this customer. A customer below its
 * share of a full queue is still admitted, so that a burst of another customer
 * cannot lock it out; the total stays below twice the limit.
 */
function isFull(pool: Pool, facts: RequestFacts): boolean {
  if (pool.queue.length < MAX_QUEUED_REQUESTS) return false;
  const share = pool.backlog.getCustomerShare(facts.customer);
  return pool.queue.getCustomerLength(facts.customer) >=
    share * MAX_QUEUED_REQUESTS;
}

interface FinishPrediction {
  readonly finishAt: number;
  /** The pool with the longest predicted wait. */
  readonly slowest: Pool | undefined;
}

/** Adds up the wait in each pool and the learned latency of each stage. */
function predictFinish(
  state: State,
  facts: RequestFacts,
  now: number,
): FinishPrediction {
  let at = now;
  let longestWaitMs = -1;
  let slowest: Pool | undefined;
  for (let index = facts.firstStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) break;
    const pool = state.getPool(stage.service);
    const isFirst = index === facts.firstStage;
    // Work ahead is processed while the request is still in earlier stages.
    const waitMs = Math.max(
      0,
      now + getWaitMs(pool, facts, { now, isFirst }) - at,
    );
    if (waitMs > longestWaitMs) {
      longestWaitMs = waitMs;
      slowest = pool;
    }
    const latency = state.latency.getStage(stage);
    at += waitMs + latency.getMeanMs(getStageSize(facts, index));
  }
  return { finishAt: at, slowest };
}

interface WaitOptions {
  readonly now: number;
  /**
   * Whether this is the request's first stage. For a later stage, slots free now
   * say nothing: other admitted requests will reach it before.
   */
  readonly isFirst: boolean;
}

/**
 * Predicts the wait for a free slot in milliseconds, the shortest of three
 * estimates: the work ahead by class and deadline; the work ahead in the same
 * class at the class's guaranteed share; the customer's work at its fair share.
 */
function getWaitMs(
  pool: Pool,
  facts: RequestFacts,
  options: WaitOptions,
): number {
  const { now, isFirst } = options;
  const slots = pool.outage.isActive ? pool.outage.slotsBefore : pool.slots;
  const hasFreeSlot = isFirst && pool.queue.length === 0 &&
    pool.inFlight < slots;
  const { requestClass, customer, deadlineAt } = facts;
  // If nothing is running, this request probes whether an outage is over.
  if (hasFreeSlot && pool.slots > 0 && pool.inFlight === 0) return 0;
  const outageMs = pool.outage.getRemainingMs(now);
  if (hasFreeSlot) return outageMs;
  const aheadMs = pool.backlog.getWorkAheadMs(requestClass, deadlineAt);
  // Running calls are half done on average.
  const poolWaitMs = Math.max(0, aheadMs - pool.inFlightWorkMs / 2) / slots;
  if (requestClass === REQUEST_CLASS.single) return outageMs + poolWaitMs;
  const classWaitMs =
    pool.backlog.getClassWorkAheadMs(requestClass, deadlineAt) /
    (slots * GUARANTEED_SHARE[requestClass]);
  const share = pool.backlog.getCustomerShare(customer);
  const customerWaitMs = pool.backlog.getCustomerWorkMs(customer) /
    (slots * share);
  return outageMs + Math.min(poolWaitMs, classWaitMs, customerWaitMs);
}
