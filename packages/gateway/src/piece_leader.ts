/**
 * Composes and makes the calls of one pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as serving from "@sardinestep/serving";
import type { ServiceId } from "@sardinestep/types";
import { match } from "ts-pattern";
import { CallLog } from "./call_log.ts";
import { type EndpointBook, getZones } from "./endpoint_book.ts";
import type { PieceAnswer, PieceCallResult, ServingWire } from "./ports.ts";
import {
  addPromised,
  createLeaderGroup,
  hasWaiting,
  type LeaderGroup,
  removeWaiting,
} from "./leader_group.ts";
import { ResultReleases } from "./result_releases.ts";

/** How often the queue is looked at when nothing else happens, in milliseconds. */
const SWEEP_MS = 25;
/**
 * How long the next call waits after a group arrived, in milliseconds: groups
 * that one earlier call made possible arrive within it.
 */
const GATHER_MS = 4;
/** Times that one piece may fail at endpoints before its group is given up. */
const MAX_PIECE_FAILURES = 3;
/** A call may take this many times its expected time before it is given up. */
const CALL_PATIENCE = 3;
/** Added to that: links, a new connection, and the wait behind a foreign call. */
const CALL_SLACK_MS = 500;
/**
 * Time after which an endpoint has read the inputs of its call, in milliseconds:
 * it reads them before it works, and 8 MB over its link take 7.
 */
const READ_INPUTS_MS = 60;
/** A load is told again within this time, in milliseconds, not computed anew. */
const LOAD_REUSE_MS = 20;

/** A piece that a call carries. */
interface CalledPiece {
  readonly queued: LeaderGroup;
  readonly piece: number;
}

/** A call that was made. */
interface RunCall {
  readonly endpoint: serving.ServingEndpoint;
  readonly pieces: readonly CalledPiece[];
  readonly startedAt: number;
}

/** What {@link PieceLeader} needs. */
export interface PieceLeaderOptions {
  readonly service: ServiceId;
  /** Part of the pool that it calls. */
  readonly shard: serving.ShardId;
  readonly getPool: () => serving.PoolSpec | undefined;
  readonly book: EndpointBook;
  readonly wire: ServingWire;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  /** Gives up results at the pool that made them. */
  readonly releaseInputs: (
    owner: serving.InputOwner,
    handles: readonly string[],
  ) => void;
}

/**
 * Holds the queue of one pool and keeps one call running at each endpoint.
 *
 * The next call is composed at the moment an endpoint is free, so it is as full
 * and as well ordered as it can be.
 */
export class PieceLeader {
  readonly #options: PieceLeaderOptions;
  readonly #endpoints = new serving.PoolEndpoints();
  readonly #room = new serving.ResultRoom();
  readonly #log: CallLog;
  readonly #releases: ResultReleases;
  readonly #timer: NodeJS.Timeout;
  #queue: LeaderGroup[] = [];
  #pumpTimer: NodeJS.Timeout | undefined;
  #load: serving.PoolLoad = serving.NO_LOAD;
  #loadAt = -Infinity;
  readonly #running = new Set<LeaderGroup>();

  /** @param options The pool and where its calls go. */
  constructor(options: PieceLeaderOptions) {
    this.#options = options;
    this.#log = new CallLog(options);
    this.#releases = new ResultReleases(options.wire, (handles) => {
      this.#releaseRoom(handles);
      if (this.#queue.length > 0) this.#pump();
    });
    this.#timer = setInterval(() => this.#sweep(), SWEEP_MS);
    this.#timer.unref();
  }

  /** Groups that wait or run. */
  get size(): number {
    return this.#queue.length + this.#running.size;
  }

  /** Has the pieces of a stage made. */
  addGroup(group: serving.PieceGroup): Promise<serving.PieceOutcome> {
    return new Promise((resolve) => {
      this.#queue.push(createLeaderGroup(group, resolve));
      this.#pumpTimer ??= setTimeout(() => this.#pump(), GATHER_MS);
    });
  }

  /** Drops what waits of a request and gives up what was made of it. */
  cancel(requestId: string): void {
    const groups = [...this.#queue, ...this.#running]
      .filter(({ group }) => group.requestId === requestId);
    for (const group of groups) {
      this.#finish(group, { kind: "unavailable", reason: serving.CANCELLED });
    }
  }

  /** Gives up results that nobody will read any more. */
  release(handles: readonly string[]): void {
    this.#releases.add(handles);
  }

  /** Gives the load for the other VMs. */
  getLoad(): serving.PoolLoad {
    const now = performance.now();
    if (now - this.#loadAt < LOAD_REUSE_MS) return this.#load;
    this.#loadAt = now;
    this.#load = this.#estimateLoad(now);
    return this.#load;
  }

  /** Ends every group; waits of callers fail over to another leader. */
  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#pumpTimer);
    for (const group of [...this.#queue, ...this.#running]) {
      this.#finish(group, { kind: "unavailable", reason: "leader stopped" });
    }
  }

  #estimateLoad(now: number): serving.PoolLoad {
    const pool = this.#options.getPool();
    if (pool === undefined) return serving.NO_LOAD;
    const ids = this.#endpoints.getQuick(
      this.#getEndpoints().map((one) => one.id),
    );
    const roomBytes = ids.length * serving.getCapacity(pool);
    return serving.estimateLoad({
      queue: this.#queue,
      pool,
      endpoints: ids.length,
      freeBytes: ids.map((id) => this.#room.getFree(id, pool, now)),
      freedBytesPerMs: roomBytes / this.#room.getHoldMs(pool),
      now,
    });
  }

  #releaseRoom(handles: readonly string[]): void {
    const pool = this.#options.getPool();
    const now = performance.now();
    for (const handle of handles) this.#room.release(handle, pool, now);
  }

  #sweep(): void {
    if (this.#queue.length > 0) this.#pump();
  }

  #pump(): void {
    clearTimeout(this.#pumpTimer);
    this.#pumpTimer = undefined;
    this.#dropExpired();
    const pool = this.#options.getPool();
    if (pool === undefined || this.#queue.length === 0) return;
    const now = performance.now();
    const usable = this.#getEndpoints();
    const sound = usable
      .filter((one) => !this.#options.book.isAvoided(one.id, now));
    const ids = sound.map((one) => one.id);
    this.#dropPromises(new Set(ids));
    const free = this.#endpoints.getFree(ids, now);
    if (free.length === 0) return;
    const quick = new Set(this.#endpoints.getQuick(ids));
    const rooms = sound.map(({ id, zone }) => ({
      endpointId: id,
      zone,
      maxPieces: pool.batchSize,
    }));
    const poolZones = getZones(usable);
    const ranked = serving.rankQueue(this.#queue, now);
    for (const { id, maxPieces } of free) {
      const endpoint = sound.find((one) => one.id === id)!;
      const getRoom = (one: typeof rooms[number]): serving.CallRoom => ({
        ...one,
        freeBytes: this.#room.getFree(one.endpointId, pool, now),
      });
      const own = getRoom(rooms.find((one) => one.endpointId === id)!);
      const plan = serving.planCall({
        ranked,
        pool,
        room: { ...own, maxPieces: maxPieces ?? pool.batchSize },
        others: rooms
          .filter((one) => one.endpointId !== id && quick.has(one.endpointId))
          .map(getRoom),
        capacityBytes: serving.getCapacity(pool),
        poolZones,
        now,
      });
      this.#addPromises(plan.promises);
      if (plan.pieces.length > 0) {
        void this.#runCall(endpoint, pool, plan.pieces);
      }
    }
  }

  #addPromises(promises: readonly serving.RoomPromise[]): void {
    for (const { queued, endpointId, pieces } of promises) {
      addPromised(queued as LeaderGroup, endpointId, pieces);
      const bytes = pieces.length * queued.group.resultBytes;
      this.#room.addPromise(endpointId, bytes);
    }
  }

  /**
   * Takes promises back at endpoints that get no calls any more.
   *
   * Guards against a group that waits for an endpoint which is gone, while others
   * have room: it shows as a request of which all but one piece are made.
   */
  #dropPromises(kept: ReadonlySet<string>): void {
    for (const queued of this.#queue) {
      for (const [endpointId, pieces] of queued.promised) {
        if (kept.has(endpointId)) continue;
        this.#dropPromise(queued, endpointId, pieces);
        queued.waiting.push(...pieces);
      }
    }
  }

  #dropPromise(
    queued: LeaderGroup,
    endpointId: string,
    pieces: readonly number[],
  ): void {
    queued.promised.delete(endpointId);
    const bytes = pieces.length * queued.group.resultBytes;
    this.#room.addPromise(endpointId, -bytes);
  }

  #getEndpoints(): serving.ServingEndpoint[] {
    const { book, service, shard } = this.#options;
    const usable = book.getUsable(service);
    if (shard === serving.WHOLE_POOL) return usable;
    return usable.filter((one) => one.zone === shard);
  }

  async #runCall(
    endpoint: serving.ServingEndpoint,
    pool: serving.PoolSpec,
    plan: readonly serving.PlannedPieces[],
  ): Promise<void> {
    const startedAt = performance.now();
    const pieces = plan.flatMap(({ queued, pieces }) =>
      pieces.map((piece) => ({ queued: queued as LeaderGroup, piece }))
    );
    this.#takePieces(plan, endpoint);
    this.#endpoints.recordStart(endpoint.id);
    const bytes = pieces.reduce(
      (sum, one) => sum + one.queued.group.resultBytes,
      0,
    );
    this.#room.addBytes(endpoint.id, bytes);
    const expectedMs = pool.callMs + pieces.length * pool.pieceMs;
    this.#log.recordStart({
      endpointId: endpoint.id,
      batchSize: pool.batchSize,
      plan,
      pieces: pieces.length,
      waiting: this.#queue.length,
      freeBytes: this.#room.getFree(endpoint.id, pool, startedAt),
      promisedBytes: this.#room.getPromised(endpoint.id),
    }, startedAt);
    const result = await this.#options.wire.runPieces({
      endpointId: endpoint.id,
      address: endpoint.address,
      pieces: pieces.map(({ queued: { group }, piece }) => ({
        requestId: group.requestId,
        stage: group.stage,
        piece,
        leftMs: Math.max(1, Math.round(group.expiresAt - startedAt)),
        key: group.key,
        inputs: group.inputs,
      })),
      timeoutMs: expectedMs * this.#endpoints.getRatio(endpoint.id) *
          CALL_PATIENCE + CALL_SLACK_MS,
    });
    const tookMs = performance.now() - startedAt;
    this.#room.removeBytes(endpoint.id, bytes);
    this.#endpoints.recordEnd(
      endpoint.id,
      performance.now(),
      result.kind === "notRun"
        ? undefined
        : { tookMs, expectedMs, isWhole: result.kind === "done" },
    );
    this.#log.recordEnd({
      endpointId: endpoint.id,
      pieces: pieces.length,
      result,
      tookMs,
      expectedMs,
    });
    this.#handleResult({ endpoint, pieces, startedAt }, result);
    this.#pump();
  }

  #takePieces(
    plan: readonly serving.PlannedPieces[],
    { id, zone }: serving.ServingEndpoint,
  ): void {
    for (const { queued, pieces } of plan) {
      const own = queued as LeaderGroup;
      own.madeIn ??= zone;
      const { fromPromise } = removeWaiting(own, id, pieces);
      this.#room.addPromise(id, -fromPromise * own.group.resultBytes);
      if (hasWaiting(own)) continue;
      this.#watchInputs(own);
      this.#queue = this.#queue.filter((one) => one !== own);
      this.#running.add(own);
    }
  }

  /** Gives inputs up once the last call that reads them has begun. */
  #watchInputs(queued: LeaderGroup): void {
    const { inputOwner, inputs } = queued.group;
    if (inputOwner === undefined || queued.hasNoInputs) return;
    setTimeout(() => {
      const isWaiting = queued.isOver || hasWaiting(queued);
      if (isWaiting || queued.hasNoInputs) return;
      queued.hasNoInputs = true;
      this.#options.releaseInputs(inputOwner, inputs);
    }, READ_INPUTS_MS);
  }

  #handleResult(call: RunCall, result: PieceCallResult): void {
    const { book } = this.#options;
    const { endpoint, pieces } = call;
    match(result)
      .with({ kind: "done" }, (done) => {
        book.recordEvidence(endpoint, serving.EVIDENCE.good);
        pieces.forEach(({ queued, piece }, index) => {
          const answer = done.pieces[index] ?? { kind: "failed" as const };
          this.#handlePiece(call, { queued, piece }, answer);
        });
      })
      .with({ kind: "notRun" }, () => {
        this.#endpoints.recordFull(endpoint.id, performance.now());
        for (const { queued, piece } of pieces) this.#requeue(queued, piece);
      })
      .with({ kind: "broken" }, () => {
        book.recordEvidence(endpoint, serving.EVIDENCE.broken);
        for (const { queued, piece } of pieces) this.#fail(queued, piece);
      })
      .exhaustive();
  }

  #handlePiece(
    { endpoint, startedAt }: RunCall,
    { queued, piece }: CalledPiece,
    answer: PieceAnswer,
  ): void {
    match(answer)
      .with({ kind: "made" }, ({ handle }) => {
        const made = {
          endpointId: endpoint.id,
          handle,
          bytes: queued.group.resultBytes,
          since: startedAt,
        };
        this.#room.keep(made, this.#options.getPool(), performance.now());
        if (queued.isOver) return this.release([handle]);
        queued.results[piece] = { handle, zone: endpoint.zone };
        this.#checkMade(queued);
      })
      .with({ kind: "noRoom" }, () => {
        this.#endpoints.recordFull(endpoint.id, performance.now());
        this.#requeue(queued, piece);
      })
      .with({ kind: "failed" }, () => this.#fail(queued, piece))
      .with({ kind: "late" }, () => this.#finishLate(queued))
      .with(
        { kind: "inputGone" },
        () => this.#finish(queued, { kind: "inputGone" }),
      )
      .exhaustive();
  }

  #checkMade(queued: LeaderGroup): void {
    const results = queued.results.filter((one) => one !== undefined);
    if (results.length < queued.group.pieces) return;
    this.#finish(queued, { kind: "made", results });
  }

  #fail(queued: LeaderGroup, piece: number): void {
    queued.failures[piece]! += 1;
    if (queued.failures[piece]! < MAX_PIECE_FAILURES) {
      return this.#requeue(queued, piece);
    }
    const reason = "a piece failed at several endpoints";
    this.#finish(queued, { kind: "unavailable", reason });
  }

  #requeue(queued: LeaderGroup, piece: number): void {
    if (queued.isOver) return;
    if (queued.hasNoInputs) return this.#finish(queued, { kind: "inputGone" });
    queued.waiting.push(piece);
    if (!this.#running.delete(queued)) return;
    this.#queue.push(queued);
  }

  #dropExpired(): void {
    const now = performance.now();
    for (const queued of this.#queue) {
      if (serving.isGivenUp(queued, now)) this.#finishLate(queued);
    }
  }

  #finishLate(queued: LeaderGroup): void {
    const waitedMs = Math.round(performance.now() - queued.queuedAt);
    this.#finish(queued, { kind: "late", waitedMs });
  }

  /** Ends a group once; what was made of it is given up unless it is whole. */
  #finish(queued: LeaderGroup, outcome: serving.PieceOutcome): void {
    if (queued.isOver) return;
    queued.isOver = true;
    this.#queue = this.#queue.filter((one) => one !== queued);
    this.#running.delete(queued);
    for (const [endpointId, pieces] of queued.promised) {
      this.#dropPromise(queued, endpointId, pieces);
    }
    if (outcome.kind !== "made") {
      this.release(
        queued.results.flatMap((one) => one === undefined ? [] : [one.handle]),
      );
    }
    queued.finish(outcome);
  }
}
