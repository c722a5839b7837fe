/**
 * Whether a request is taken, and when its caller may come back.
 *
 * @module
 */
/** Why a request isn't taken. */
export const REFUSAL = {
  /** Its queues are so long that its answer would be late. */
  busy: "busy",
  /** Its caller leaves before any answer could be ready. */
  noTime: "noTime",
} as const;
/** A value of {@link REFUSAL}. */
export type Refusal = typeof REFUSAL[keyof typeof REFUSAL];

/** What {@link decideAdmission} knows of a request. */
export interface AdmissionInput {
  /** Time of its stages when nothing waits, in milliseconds. */
  readonly stagesMs: number;
  /** What queues on its longest path add, in milliseconds. */
  readonly waitMs: number;
  /** Time from the last result to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly objectiveMs: number;
  readonly leftMs: number;
  /** Time after which the caller leaves if nothing has begun, in milliseconds. */
  readonly patienceMs?: number;
  /** The caller was refused before and came back as it was told. */
  readonly isReturn: boolean;
}

/** Taken or not, with the time that decided it. */
export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly expectedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: Refusal;
    readonly expectedMs: number;
    readonly retryAfterMs: number;
  };

/**
 * How much sooner than its objective an answer must be expected, in milliseconds:
 * the queue of a pool grows while a request of several stages is on its way.
 */
const ADMISSION_SLACK_MS = 100;
/**
 * How long a request that no endpoint has worked for waits beyond its latest
 * start in time, in milliseconds: about one call, in case a queue ends early.
 */
const NEW_PATIENCE_MS = 400;
/**
 * How long a caller that came back may wait in queues, in milliseconds. It is
 * late already and takes what others leave; a second refusal sends it away for
 * good, so it waits for some calls, unless the queues are longer than that.
 */
const RETURN_PATIENCE_MS = 1_000;
/** Shortest time to come back in; a pool's call takes about as long. */
const MIN_RETRY_AFTER_MS = 300;
/**
 * Share of the caller's time after which it is told to come back. Whoever is
 * refused is late when it comes back, so it does better to come when the burst
 * is over; callers heed up to a third of their time.
 */
const RETURN_SHARE = 0.25;

/**
 * Decides at the door.
 *
 * Guards against requests that are held, take part in calls and are then given
 * up: they cost the pools as much as those that are served. It shows as pools
 * that are busy while few answers come in time.
 *
 * @param input The request and the queues on its way.
 * @returns Taken, or why not and when there will be room.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { waitMs } = input;
  const expectedMs = waitMs + input.stagesMs + input.firstEventMs;
  if (expectedMs > Math.min(input.leftMs, input.patienceMs ?? Infinity)) {
    return buildRefusal(REFUSAL.noTime, expectedMs, input.leftMs);
  }
  const isLate = expectedMs > input.objectiveMs - ADMISSION_SLACK_MS;
  const isTooLong = input.isReturn ? waitMs > RETURN_PATIENCE_MS : isLate;
  if (waitMs > 0 && isTooLong) {
    return buildRefusal(REFUSAL.busy, expectedMs, input.leftMs);
  }
  return { kind: "admitted", expectedMs };
}

/**
 * Gives the time after which a refused caller should come back.
 *
 * @param leftMs How long it waits in all, in milliseconds.
 */
export function planReturn(leftMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, leftMs * RETURN_SHARE);
}

/**
 * Gives the time at which a waiting group is given up.
 *
 * Guards against callers that are held for seconds and then refused: what can't
 * be in time any more and has cost nothing yet is refused at once, with a time to
 * come back. What endpoints have worked for is finished while its caller waits.
 */
export function planGiveUp(options: {
  readonly isInvested: boolean;
  readonly isReturn: boolean;
  readonly now: number;
  readonly dueAt: number;
  /** Latest start that is of any use to the caller. */
  readonly expiresAt: number;
}): number {
  const { isInvested, isReturn, now, dueAt, expiresAt } = options;
  if (isInvested) return expiresAt;
  const patienceMs = isReturn ? RETURN_PATIENCE_MS : NEW_PATIENCE_MS;
  return Math.min(expiresAt, Math.max(now, dueAt) + patienceMs);
}

/** A VM that was told to stop. */
export interface StopState {
  /** Time since it was told, in milliseconds. */
  readonly sinceMs: number;
  /** Time until it exits, in milliseconds. */
  readonly leftMs: number;
}

/**
 * How long a VM that stops takes every request, in milliseconds. Callers on open
 * connections learn with their next answer that they must go elsewhere, and two
 * looks a second apart take the VM out for new connections.
 */
const STOP_OPEN_MS = 2_500;
/**
 * The same as a share of the whole time until the exit, where that is short. With
 * an exit 1.3 s after the stop, everything was taken until the exit and cut by it.
 */
const STOP_OPEN_SHARE = 0.35;

/**
 * Decides whether a VM that stops still takes a request.
 *
 * Guards against an answer that is cut by the exit: it shows as a stream that
 * begins seconds after the stop and breaks off when the VM's grace ends.
 *
 * @param stop The stop, if there is one.
 * @param leftMs Longest time that the request may take.
 */
export function mayServeWhileStopping(
  stop: StopState | undefined,
  leftMs: number,
): boolean {
  if (stop === undefined) return true;
  const openMs = (stop.sinceMs + stop.leftMs) * STOP_OPEN_SHARE;
  if (stop.sinceMs < Math.min(STOP_OPEN_MS, openMs)) return true;
  return leftMs < stop.leftMs;
}

function buildRefusal(
  reason: Refusal,
  expectedMs: number,
  leftMs: number,
): AdmissionDecision {
  const retryAfterMs = planReturn(leftMs);
  return { kind: "refused", reason, expectedMs, retryAfterMs };
}
