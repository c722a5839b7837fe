/**
 * Admission control: accepts or rejects requests and sets their retry delay.
 *
 * @module
 */
/** Why a request is rejected. */
export const REJECTION_REASON = {
  /** The queues are so long that the answer would miss its objective. */
  busy: "busy",
  /** The answer can't be ready before the caller's deadline or timeout. */
  deadlineOutOfReach: "deadlineOutOfReach",
} as const;
/** A value of {@link REJECTION_REASON}. */
export type RejectionReason =
  typeof REJECTION_REASON[keyof typeof REJECTION_REASON];

/** Input of {@link decideAdmission}. */
export interface AdmissionInput {
  /** Time of all stages without queueing, in milliseconds. */
  readonly stagesMs: number;
  /** Expected queueing time along the longest path, in milliseconds. */
  readonly waitMs: number;
  /** Time from the last stage result to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly objectiveMs: number;
  /** Time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly timeoutMs: number;
  /** How long the caller waits for the first event, in milliseconds. */
  readonly patienceMs?: number;
  /** The caller was rejected before and retried after the time it was given. */
  readonly isReturn: boolean;
}

/** Whether a request is accepted, and the expected time behind the decision. */
export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly expectedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: RejectionReason;
    readonly expectedMs: number;
    readonly retryAfterMs: number;
  };

/**
 * Margin by which the expected answer must precede the objective, in milliseconds:
 * a pool's queue grows while a request of several stages is being processed.
 */
const ADMISSION_SLACK_MS = 100;
/**
 * How long a group without completed work stays queued beyond its latest start on
 * time, in milliseconds: about one call, in case the queue shrinks early.
 */
const NEW_REQUEST_WAIT_MS = 400;
/**
 * Longest queueing time accepted for a retry, in milliseconds. A retry has already
 * missed its objective and uses spare capacity; rejecting it again loses the
 * caller, so it may wait for a few calls.
 */
const RETRY_WAIT_MS = 1_000;
/** Shortest retry delay, about the duration of a pool's call. */
const MIN_RETRY_AFTER_MS = 300;
/**
 * Retry delay as a share of the caller's remaining time. A rejected caller misses
 * its objective anyway, so it should retry after the burst; callers honor delays up
 * to a third of their time.
 */
const RETRY_AFTER_SHARE = 0.25;

/**
 * Decides whether to accept a request.
 *
 * Prevents requests from taking part in calls and then timing out: they cost the
 * pools as much as answered ones. The symptom is busy pools with few answers on
 * time.
 *
 * @param input The request and the queues on its path.
 * @returns Acceptance, or the reason for rejection and the retry delay.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { waitMs } = input;
  const expectedMs = waitMs + input.stagesMs + input.firstEventMs;
  if (expectedMs > Math.min(input.timeoutMs, input.patienceMs ?? Infinity)) {
    return buildRejection(
      REJECTION_REASON.deadlineOutOfReach,
      expectedMs,
      input.timeoutMs,
    );
  }
  const isLate = expectedMs > input.objectiveMs - ADMISSION_SLACK_MS;
  const isTooSlow = input.isReturn ? waitMs > RETRY_WAIT_MS : isLate;
  if (waitMs > 0 && isTooSlow) {
    return buildRejection(REJECTION_REASON.busy, expectedMs, input.timeoutMs);
  }
  return { kind: "admitted", expectedMs };
}

/**
 * Returns the delay after which a rejected caller should retry, in milliseconds.
 *
 * @param timeoutMs How long the caller waits in total, in milliseconds.
 */
export function planRetryAfter(timeoutMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, timeoutMs * RETRY_AFTER_SHARE);
}

/**
 * Returns the time at which a queued group is dropped.
 *
 * A group that can no longer be on time and has no completed work is rejected soon,
 * with a retry delay, so that callers don't wait for seconds before a
 * rejection. A request with completed work goes on while its caller waits.
 */
export function planGiveUp(options: {
  readonly isInvested: boolean;
  readonly isReturn: boolean;
  readonly now: number;
  readonly dueAt: number;
  /** Latest start that still reaches the caller. */
  readonly expiresAt: number;
}): number {
  const { isInvested, isReturn, now, dueAt, expiresAt } = options;
  if (isInvested) return expiresAt;
  const maxWaitMs = isReturn ? RETRY_WAIT_MS : NEW_REQUEST_WAIT_MS;
  return Math.min(expiresAt, Math.max(now, dueAt) + maxWaitMs);
}

/** Shutdown progress of a VM. */
export interface ShutdownState {
  /** Time until running requests are ended, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Decides whether a stopping VM accepts a request.
 *
 * Only the deadline of a request bounds how long it runs, so a request whose deadline
 * lies after the exit is refused at once; another VM can serve it completely.
 *
 * @param stop Shutdown progress; undefined while the VM isn't stopping.
 * @param leftMs Time until the deadline of the request, in milliseconds.
 */
export function mayServeWhileStopping(
  stop: ShutdownState | undefined,
  leftMs: number,
): boolean {
  return stop === undefined || leftMs < stop.leftMs;
}

function buildRejection(
  reason: RejectionReason,
  expectedMs: number,
  timeoutMs: number,
): AdmissionDecision {
  const retryAfterMs = planRetryAfter(timeoutMs);
  return { kind: "refused", reason, expectedMs, retryAfterMs };
}
