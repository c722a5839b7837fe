/**
 * Queued and running groups of one pool, until each has its outcome.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type { EndpointId } from "@sardinestep/types";
import {
  type ActiveGroup,
  addReservedPieces,
  type CalledPiece,
  hasWaitingPieces,
  removeWaitingPieces,
} from "./active_group.ts";

/** Failures of one piece after which its whole group fails. */
const MAX_PIECE_FAILURES = 3;
/**
 * Time after which an endpoint has read the inputs of a call, in milliseconds. It
 * reads them before it starts to work; 8 MB take 7 ms over its link.
 */
const INPUT_READ_MS = 60;

/** What {@link GroupQueue} needs. */
export interface GroupQueueOptions {
  /** Tracks the result space that is reserved for groups. */
  readonly resultSpace: serving.ResultSpace;
  /** Releases results of this pool. */
  readonly release: (handles: readonly string[]) => void;
  /** Releases results at the pool that produced them. */
  readonly releaseInputs: (
    owner: serving.InputOwner,
    handles: readonly string[],
  ) => void;
}

/** Tracks the state of groups; the leader makes the calls. */
export class GroupQueue {
  readonly #options: GroupQueueOptions;
  readonly #running = new Set<ActiveGroup>();
  #waiting: ActiveGroup[] = [];

  /** @param options Result space, and how results are released. */
  constructor(options: GroupQueueOptions) {
    this.#options = options;
  }

  /** Groups with pieces that are not in a call yet. */
  get waiting(): readonly ActiveGroup[] {
    return this.#waiting;
  }

  /** Number of queued and running groups. */
  get size(): number {
    return this.#waiting.length + this.#running.size;
  }

  /** Queues a new group, all of whose pieces wait for a call. */
  add(queued: ActiveGroup): void {
    this.#waiting.push(queued);
  }

  /** Ends the groups of a cancelled request. */
  cancel(requestId: string): void {
    const groups = [...this.#waiting, ...this.#running]
      .filter(({ group }) => group.requestId === requestId);
    for (const group of groups) {
      this.finish(group, { kind: "unavailable", reason: serving.CANCELLED });
    }
  }

  /** Ends every group as unavailable. */
  close(): void {
    for (const group of [...this.#waiting, ...this.#running]) {
      this.finish(group, { kind: "unavailable", reason: "leader stopped" });
    }
  }

  /** Reserves result space for pieces of the next calls to an endpoint. */
  addReservations(reservations: readonly serving.SpaceReservation[]): void {
    for (const { queued, endpointId, pieces } of reservations) {
      addReservedPieces(queued as ActiveGroup, endpointId, pieces);
      const bytes = pieces.length * queued.group.resultBytes;
      this.#options.resultSpace.addReservedBytes(endpointId, bytes);
    }
  }

  /**
   * Cancels reservations at endpoints that get no more calls.
   *
   * Otherwise a group waits for an endpoint that is gone while others have free
   * space; the symptom is a request with all but one piece done.
   */
  cancelReservations(callableIds: ReadonlySet<EndpointId>): void {
    for (const queued of this.#waiting) {
      for (const [endpointId, pieces] of queued.reserved) {
        if (callableIds.has(endpointId)) continue;
        this.#cancelReservation(queued, endpointId, pieces);
        queued.waiting.push(...pieces);
      }
    }
  }

  /** Moves the pieces of a planned call out of the queue. */
  startPieces(
    plan: readonly serving.PlannedPieces[],
    { id, zone }: serving.ServingEndpoint,
  ): void {
    for (const { queued, pieces } of plan) {
      const started = queued as ActiveGroup;
      started.startedIn ??= zone;
      const { reservedCount } = removeWaitingPieces(started, id, pieces);
      const bytes = reservedCount * started.group.resultBytes;
      this.#options.resultSpace.addReservedBytes(id, -bytes);
      if (hasWaitingPieces(started)) continue;
      this.#scheduleInputRelease(started);
      this.#waiting = this.#waiting.filter((group) => group !== started);
      this.#running.add(started);
    }
  }

  /** Records a result; the last one completes its group. */
  recordResult(
    { queued, piece }: CalledPiece,
    newResult: serving.PieceResult,
  ): void {
    if (queued.isFinished) return this.#options.release([newResult.handle]);
    queued.results[piece] = newResult;
    const results = queued.results.filter((result) => result !== undefined);
    if (results.length < queued.group.pieces) return;
    this.finish(queued, { kind: "made", results });
  }

  /** Requeues a failed piece; after several failures its group fails. */
  recordFailure(called: CalledPiece): void {
    const { queued, piece } = called;
    queued.failures[piece]! += 1;
    if (queued.failures[piece]! < MAX_PIECE_FAILURES) {
      return this.requeue(called);
    }
    const reason = "a piece failed at several endpoints";
    this.finish(queued, { kind: "unavailable", reason });
  }

  /** Returns a piece to the queue for a later call. */
  requeue({ queued, piece }: CalledPiece): void {
    if (queued.isFinished) return;
    if (queued.isInputGone) return this.finish(queued, { kind: "inputGone" });
    queued.waiting.push(piece);
    if (!this.#running.delete(queued)) return;
    this.#waiting.push(queued);
  }

  /** Ends queued groups whose results would come too late to be of use. */
  dropExpired(): void {
    const now = performance.now();
    for (const queued of this.#waiting) {
      if (serving.isGivenUp(queued, now)) this.finishLate(queued);
    }
  }

  /** Ends queued groups of requests that have been quarantined since. */
  dropQuarantined(isQuarantined: (fingerprint: string) => boolean): void {
    for (const queued of this.#waiting) {
      if (!isQuarantined(queued.group.fingerprint)) continue;
      this.finish(queued, {
        kind: "unavailable",
        reason: serving.QUARANTINED,
      });
    }
  }

  /** Ends a group that cannot be completed in time. */
  finishLate(queued: ActiveGroup): void {
    const waitedMs = Math.round(performance.now() - queued.queuedAt);
    this.finish(queued, { kind: "late", waitedMs });
  }

  /** Ends a group once; results of an incomplete group are released. */
  finish(queued: ActiveGroup, outcome: serving.PieceOutcome): void {
    if (queued.isFinished) return;
    queued.isFinished = true;
    this.#waiting = this.#waiting.filter((group) => group !== queued);
    this.#running.delete(queued);
    for (const [endpointId, pieces] of queued.reserved) {
      this.#cancelReservation(queued, endpointId, pieces);
    }
    if (outcome.kind !== "made") {
      this.#options.release(
        queued.results.flatMap((result) =>
          result === undefined ? [] : [result.handle]
        ),
      );
    }
    queued.finish(outcome);
  }

  #cancelReservation(
    queued: ActiveGroup,
    endpointId: EndpointId,
    pieces: readonly number[],
  ): void {
    queued.reserved.delete(endpointId);
    const bytes = pieces.length * queued.group.resultBytes;
    this.#options.resultSpace.addReservedBytes(endpointId, -bytes);
  }

  /** Releases inputs once the last call that needs them has read them. */
  #scheduleInputRelease(queued: ActiveGroup): void {
    const { inputOwner, inputs } = queued.group;
    if (inputOwner === undefined || queued.isInputGone) return;
    setTimeout(() => {
      const isDoneOrWaiting = queued.isFinished || hasWaitingPieces(queued);
      if (isDoneOrWaiting || queued.isInputGone) return;
      queued.isInputGone = true;
      this.#options.releaseInputs(inputOwner, inputs);
    }, INPUT_READ_MS);
  }
}
