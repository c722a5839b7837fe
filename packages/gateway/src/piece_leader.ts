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
import { ResultReleases } from "./result_releases.ts";
import { ResultRoom } from "./result_room.ts";

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
interface LeaderGroup extends serving.QueuedGroup {
  readonly results: (serving.PieceResult | undefined)[];
  readonly failures: number[];
  isOver: boolean;
  readonly finish: (outcome: serving.PieceOutcome) => void;
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
  readonly #room = new ResultRoom();
  readonly #log: CallLog;
  readonly #releases: ResultReleases;
  readonly #timer: NodeJS.Timeout;
  #queue: LeaderGroup[] = [];
  #pumpTimer: NodeJS.Timeout | undefined;
  readonly #running = new Set<LeaderGroup>();

  /** @param options The pool and where its calls go. */
  constructor(options: PieceLeaderOptions) {
    this.#options = options;
    this.#log = new CallLog(options);
    this.#releases = new ResultReleases(options.wire, (handles) => {
      for (const handle of handles) this.#room.release(handle);
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
      this.#queue.push(this.#createGroup(group, resolve));
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
    const pool = this.#options.getPool();
    if (pool === undefined) return { waitMs: [0], lateWaitMs: 0, endpoints: 0 };
    const ids = this.#getEndpoints().map((one) => one.id);
    const endpoints = this.#endpoints.countQuick(ids);
    return serving.estimateLoad({
      queue: this.#queue,
      pool,
      endpoints,
      now: performance.now(),
    });
  }

  /** Ends every group; waits of callers fail over to another leader. */
  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#pumpTimer);
    for (const group of [...this.#queue, ...this.#running]) {
      this.#finish(group, { kind: "unavailable", reason: "leader stopped" });
    }
  }

  #createGroup(
    group: serving.PieceGroup,
    finish: (outcome: serving.PieceOutcome) => void,
  ): LeaderGroup {
    return {
      group,
      queuedAt: performance.now(),
      waiting: Array.from({ length: group.pieces }, (_, piece) => piece),
      results: Array.from({ length: group.pieces }),
      failures: Array.from({ length: group.pieces }, () => 0),
      isOver: false,
      finish,
    };
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
    const ids = usable
      .filter((one) => !this.#options.book.isAvoided(one.id, now))
      .map((one) => one.id);
    for (const free of this.#endpoints.getFree(ids, now)) {
      const endpoint = usable.find((one) => one.id === free.id)!;
      const plan = serving.planCall({
        queue: this.#queue,
        pool,
        room: {
          zone: endpoint.zone,
          freeBytes: this.#room.getFree(endpoint.id, pool, now),
          maxPieces: free.maxPieces ?? pool.batchSize,
        },
        poolZones: getZones(usable),
        now,
      });
      if (plan.length > 0) void this.#runCall(endpoint, pool, plan);
    }
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
    this.#takePieces(plan, endpoint.zone);
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
    this.#handleResult(endpoint, pieces, result);
    this.#pump();
  }

  #takePieces(
    plan: readonly serving.PlannedPieces[],
    zone: string,
  ): void {
    for (const { queued, pieces } of plan) {
      queued.madeIn ??= zone;
      queued.waiting.splice(0, pieces.length);
      if (queued.waiting.length > 0) continue;
      this.#queue = this.#queue.filter((one) => one !== queued);
      this.#running.add(queued as LeaderGroup);
    }
  }

  #handleResult(
    endpoint: serving.ServingEndpoint,
    pieces: readonly { queued: LeaderGroup; piece: number }[],
    result: PieceCallResult,
  ): void {
    const { book } = this.#options;
    match(result)
      .with({ kind: "done" }, (done) => {
        book.recordEvidence(endpoint, serving.EVIDENCE.good);
        pieces.forEach(({ queued, piece }, index) => {
          const answer = done.pieces[index] ?? { kind: "failed" as const };
          this.#handlePiece(endpoint, queued, piece, answer);
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
    endpoint: serving.ServingEndpoint,
    queued: LeaderGroup,
    piece: number,
    answer: PieceAnswer,
  ): void {
    match(answer)
      .with({ kind: "made" }, ({ handle }) => {
        const bytes = queued.group.resultBytes;
        this.#room.keep(endpoint, handle, bytes, this.#options.getPool());
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
    if (outcome.kind !== "made") {
      this.release(
        queued.results.flatMap((one) => one === undefined ? [] : [one.handle]),
      );
    }
    queued.finish(outcome);
  }
}
