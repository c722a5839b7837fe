/**
 * Whether a request is let in, by its predicted finish.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import { REQUEST_CLASS, type RequestFacts } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Pool } from "./pool.ts";
import { getReturnMs } from "./return_time.ts";
import { GUARANTEED_SHARE } from "./stage_queue.ts";
import type { State } from "./state.ts";
import { getStageSize } from "./tracked.ts";

/** A refusal before anything was sent. */
export interface AdmissionRefusal {
  readonly code: CodeName;
  /** When the caller should come back, in milliseconds from now. */
  readonly retryAfterMs: number;
}

/** What {@link checkAdmission} is given. */
export interface AdmissionOptions {
  readonly now: number;
  readonly random: number;
}

/**
 * Part of the time until the deadline that the predicted finish may use up.
 * The rest is for what comes later and goes first: requests with earlier
 * deadlines and more urgent classes. A queue that is filled to the last moment
 * serves everyone just too late.
 */
const USABLE_PART = 0.75;
/**
 * Requests that may wait for one pool. Waiting time bounds the queue long
 * before; this is for memory while nothing at all moves.
 */
const MAX_WAITING = 4_000;

/**
 * Checks whether a request would be let in; changes nothing.
 *
 * Made for saturation, and for a stage late in the pipeline that has become the
 * bottleneck: work that can't be finished in time is refused before anything
 * of it ran. The harm that it prevents is a queue of requests that are all
 * answered too late, and worker time of early stages spent on them.
 *
 * @param state Read only.
 * @param facts The request.
 * @param options Moment and random number of the question.
 */
export function checkAdmission(
  state: State,
  facts: RequestFacts,
  options: AdmissionOptions,
): Result<void, AdmissionRefusal> {
  const { now, random } = options;
  const pools = facts.stages.slice(facts.firstStage)
    .map((stage) => state.getPool(stage.service));
  const refuse = (code: CodeName, pool: Pool | undefined, lateMs: number) =>
    Err({ code, retryAfterMs: getReturnMs(pool, { now, lateMs, random }) });

  if (!state.customers.mayAdd(facts.customer)) {
    return refuse("CUSTOMER_LIMIT", pools[0], 0);
  }
  const closed = pools.find((pool, index) => isClosed(pool, index === 0));
  if (closed) return refuse("STAGE_UNAVAILABLE", closed, 0);
  const full = pools.find((pool) => isFull(pool, facts));
  if (full) return refuse("QUEUE_FULL", full, 0);
  const prediction = predictFinish(state, facts, now);
  const latest = now + USABLE_PART * (facts.deadlineAt - now);
  if (prediction.finishAt > latest) {
    const lateMs = prediction.finishAt - latest;
    const isOut = prediction.slowest?.outage.isOn === true;
    const code = isOut ? "STAGE_UNAVAILABLE" : "DEADLINE_OUT_OF_REACH";
    return refuse(code, prediction.slowest, lateMs);
  }
  return Ok(undefined);
}

/**
 * Whether a pool takes nothing now. In an outage requests may wait for a first
 * stage, where nothing is lost if they wait in vain; a later stage that is out
 * gets just the one request that finds out whether it works again.
 */
function isClosed(pool: Pool, isFirst: boolean): boolean {
  if (!pool.outage.isOn) return pool.slots === 0;
  if (isFirst) return pool.getNominalSlots() === 0;
  return pool.slots === 0 || pool.inFlight + pool.queue.length > 0;
}

/**
 * A customer below its share of a full queue is still let in, so that a burst
 * of another can't lock it out; the sum stays under twice the limit.
 */
function isFull(pool: Pool, facts: RequestFacts): boolean {
  if (pool.queue.length < MAX_WAITING) return false;
  const share = pool.backlog.getShare(facts.customer);
  return pool.queue.getLengthOf(facts.customer) >= share * MAX_WAITING;
}

interface Prediction {
  readonly finishAt: number;
  /** The pool with the longest wait. */
  readonly slowest: Pool | undefined;
}

/** Walks through the stages: wait in each pool, then its learned latency. */
function predictFinish(
  state: State,
  facts: RequestFacts,
  now: number,
): Prediction {
  let at = now;
  let longestWait = -1;
  let slowest: Pool | undefined;
  for (let index = facts.firstStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) break;
    const pool = state.getPool(stage.service);
    const isFirst = index === facts.firstStage;
    // What is ahead is worked off while the request is in earlier stages.
    const wait = Math.max(
      0,
      now + getWaitMs(pool, facts, { now, isFirst }) - at,
    );
    if (wait > longestWait) {
      longestWait = wait;
      slowest = pool;
    }
    const latency = state.latency.getStage(stage);
    at += wait + latency.getExpected(getStageSize(facts, index));
  }
  return { finishAt: at, slowest };
}

interface WaitOptions {
  readonly now: number;
  /**
   * Whether the request would come there at once. Room that is free now says
   * nothing of a later stage: others are already on their way to it.
   */
  readonly isFirst: boolean;
}

/**
 * Predicted wait for a free slot in milliseconds: the shortest of three views.
 * What goes before by class and deadline; what is ahead in the own class at the
 * class's guaranteed share; the customer's own work at its fair share.
 */
function getWaitMs(
  pool: Pool,
  facts: RequestFacts,
  options: WaitOptions,
): number {
  const { now, isFirst } = options;
  const slots = pool.outage.isOn ? pool.outage.slotsBefore : pool.slots;
  const hasRoom = isFirst && pool.queue.length === 0 && pool.inFlight < slots;
  const { requestClass, customer, deadlineAt } = facts;
  const outageMs = pool.outage.getRestMs(now);
  if (hasRoom) return outageMs;
  const ahead = pool.backlog.getAhead(requestClass, deadlineAt);
  // What runs is on average half done.
  const wholeMs = Math.max(0, ahead - pool.runningMs / 2) / slots;
  if (requestClass === REQUEST_CLASS.single) return outageMs + wholeMs;
  const classMs = pool.backlog.getOwnClassAhead(requestClass, deadlineAt) /
    (slots * GUARANTEED_SHARE[requestClass]);
  const share = pool.backlog.getShare(customer);
  const customerMs = pool.backlog.getOfCustomer(customer) / (slots * share);
  return outageMs + Math.min(wholeMs, classMs, customerMs);
}
