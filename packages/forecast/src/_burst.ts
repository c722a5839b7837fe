/**
 * A load for tests: a burst above what one pool can serve, and callers who return
 * once after a refusal.
 *
 * @module
 */
import { AheadWork } from "./ahead_work.ts";
import { decideChainAdmission, getDeferredWaitMs } from "./chain_admission.ts";
import { planReturn } from "./return_plan.ts";

/** Time step, in milliseconds. */
const STEP_MS = 10;
/** Chains that the pool completes in a step: 300 a second. */
const SERVED_PER_STEP = 3;
/** Time before and after the pool, in milliseconds. */
const UPSTREAM_MS = 300;
const DOWNSTREAM_MS = 750;
/** How long the results of the stage before the pool are kept. */
const RESULT_TTL_MS = 4_000;
/** Groups with less time than this left go first. */
const LAST_CHANCE_MS = 400;

/** What callers got. */
export interface BurstOutcome {
  asked: number;
  onTime: number;
  late: number;
  /** Admitted, but not answered before the deadline. */
  failed: number;
  refusedFirst: number;
  refusedReturns: number;
  /** Moments at which callers returned, in milliseconds. */
  readonly returnsAt: number[];
  /** Answers on time by second of the answer. */
  readonly onTimeBySecond: number[];
}

/** Parameters of a burst. */
export interface BurstOptions {
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Arrivals in a step. */
  readonly getArrivals: (nowMs: number) => number;
  readonly untilMs: number;
  /** Margin of admission and due times, in milliseconds. */
  readonly marginMs: number;
  /** Interval of load reports, in milliseconds; unset if none arrive. */
  readonly reportMs?: number;
}

interface Caller {
  readonly id: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly isReturn: boolean;
}

interface Queued {
  readonly caller: Caller;
  readonly queuedAt: number;
  readonly dueAt: number;
  readonly expiresAt: number;
}

/** Plays a burst and returns what callers got. */
export function runBurst(options: BurstOptions): BurstOutcome {
  const outcome: BurstOutcome = {
    asked: 0,
    onTime: 0,
    late: 0,
    failed: 0,
    refusedFirst: 0,
    refusedReturns: 0,
    returnsAt: [],
    onTimeBySecond: [],
  };
  const ahead = new AheadWork();
  const upstream: { readonly at: number; readonly queue: () => void }[] = [];
  const returns: Caller[] = [];
  let queue: Queued[] = [];
  let report = { onTime: 0, all: 0 };
  const workMs = STEP_MS / SERVED_PER_STEP;

  const handleArrival = (caller: Caller, now: number) => {
    const timeoutMs = caller.deadlineAt - now;
    const deferredWaitMs = getDeferredWaitMs(
      report.onTime * workMs,
      report.all * workMs,
      caller.isReturn,
    );
    const input = {
      stagesMs: UPSTREAM_MS + DOWNSTREAM_MS - 200,
      waitMs: report.onTime * workMs,
      deferredWaitMs,
      heldMs: deferredWaitMs,
      resultTtlMs: RESULT_TTL_MS,
      firstEventMs: 200,
      marginMs: options.marginMs,
      aheadMs: ahead.getMs("pool"),
      objectiveMs: options.objectiveMs,
      timeoutMs,
      isReturn: caller.isReturn,
    };
    const decision = decideChainAdmission(input);
    if (decision.kind === "refused") {
      if (caller.isReturn) {
        outcome.refusedReturns += 1;
        return;
      }
      outcome.refusedFirst += 1;
      const delayMs = planReturn({
        requestId: caller.id,
        roomMs: decision.roomMs,
        drainMs: input.deferredWaitMs,
        neededMs: input.stagesMs + input.firstEventMs + input.waitMs +
          input.marginMs,
        timeoutMs,
      });
      const arrivedAt = now + delayMs;
      outcome.returnsAt.push(arrivedAt);
      returns.push({ ...caller, arrivedAt, isReturn: true });
      return;
    }
    const removeAhead = ahead.add("pool", workMs);
    const objectiveMs = caller.isReturn ? 0 : options.objectiveMs;
    upstream.push({
      at: now + UPSTREAM_MS,
      queue: () => {
        removeAhead();
        queue.push({
          caller,
          queuedAt: now + UPSTREAM_MS,
          dueAt: now + objectiveMs - DOWNSTREAM_MS - options.marginMs,
          expiresAt: caller.deadlineAt - DOWNSTREAM_MS,
        });
      },
    });
  };

  const handleAnswer = ({ caller, queuedAt }: Queued, now: number) => {
    const answeredAt = now + DOWNSTREAM_MS + getDelayMs(caller.id);
    const isLost = now - queuedAt > RESULT_TTL_MS;
    if (isLost || answeredAt > caller.deadlineAt) outcome.failed += 1;
    else if (
      caller.isReturn || answeredAt > caller.arrivedAt + options.objectiveMs
    ) outcome.late += 1;
    else {
      outcome.onTime += 1;
      const second = Math.floor(answeredAt / 1_000);
      outcome.onTimeBySecond[second] = (outcome.onTimeBySecond[second] ?? 0) +
        1;
    }
  };

  let created = 0;
  for (let now = 0; now < options.untilMs; now += STEP_MS) {
    while (upstream[0] !== undefined && upstream[0].at <= now) {
      upstream.shift()!.queue();
    }
    const lanes = planQueue(queue, now, workMs);
    if (options.reportMs !== undefined && now % options.reportMs === 0) {
      report = { onTime: lanes.onTimeCount, all: queue.length };
    }
    for (let i = 0; i < options.getArrivals(now); i++) {
      outcome.asked += 1;
      const deadlineAt = now + options.timeoutMs;
      const id = `request-${created++}`;
      const isReturn = false;
      handleArrival({ id, arrivedAt: now, deadlineAt, isReturn }, now);
    }
    for (const caller of returns.filter(({ arrivedAt }) => arrivedAt <= now)) {
      returns.splice(returns.indexOf(caller), 1);
      handleArrival(caller, now);
    }
    const served = new Set(lanes.order.slice(0, SERVED_PER_STEP));
    for (const queued of served) handleAnswer(queued, now);
    const expired = queue.filter((queued) =>
      !served.has(queued) && queued.expiresAt < now
    );
    outcome.failed += expired.length;
    queue = queue.filter((queued) =>
      !served.has(queued) && queued.expiresAt >= now
    );
  }
  outcome.failed += queue.length;
  return outcome;
}

/** Error of the forecast after the pool: 0 to 300 ms, fixed for each request. */
function getDelayMs(id: string): number {
  const index = Number(id.split("-")[1]);
  return (index * 7_919) % 300;
}

/** Serves last chances, then all that can be on time, then the rest by deadline. */
function planQueue(queue: readonly Queued[], now: number, workMs: number) {
  const isLast = ({ expiresAt, dueAt }: Queued) =>
    dueAt < now && expiresAt - now < LAST_CHANCE_MS;
  const lastChance = queue.filter(isLast);
  const onTime: Queued[] = [];
  const deferred: Queued[] = [];
  const others = queue.filter((queued) => !isLast(queued));
  for (const queued of others.sort((a, b) => a.dueAt - b.dueAt)) {
    const startsAt = now + (lastChance.length + onTime.length) * workMs;
    (startsAt <= queued.dueAt ? onTime : deferred).push(queued);
  }
  deferred.sort((a, b) => a.expiresAt - b.expiresAt);
  return {
    order: [...lastChance, ...onTime, ...deferred],
    onTimeCount: lastChance.length + onTime.length,
  };
}
