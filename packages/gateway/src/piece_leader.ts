/**
 * Plans and sends the calls of one pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as serving from "@sardinestep/serving";
import type { EndpointId, ServiceId } from "@sardinestep/types";
import { match } from "ts-pattern";
import { STATUS_REJECTED } from "./attempt.ts";
import { CallLog } from "./call_log.ts";
import { type EndpointTracker, getZones } from "./endpoint_tracker.ts";
import type { PieceAnswer, PieceCallResult, WireAdapter } from "./ports.ts";
import {
  type ActiveGroup,
  type CalledPiece,
  createActiveGroup,
  planIsolation,
} from "./active_group.ts";
import { GroupQueue } from "./group_queue.ts";
import type { ReportedLoad } from "./leader_table.ts";
import { PoolOrder } from "./pool_order.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { ResultReleaser } from "./result_releaser.ts";
import type { Rollouts } from "./rollouts.ts";
import { buildCallOutcome } from "./version_evidence.ts";

/** Interval of queue checks when no other event triggers one, in milliseconds. */
const QUEUE_CHECK_INTERVAL_MS = 25;
/**
 * Delay of the next call after a group has arrived, in milliseconds. Other groups
 * whose inputs come from the same earlier call arrive within this time.
 */
const GROUPING_DELAY_MS = 4;
/** A call times out after this many times its expected time. */
const CALL_TIMEOUT_FACTOR = 3;
/** Added to that for link delays, a new connection and waiting behind others' calls. */
const CALL_TIMEOUT_MARGIN_MS = 500;
/** VMs that may lead a pool at the same time, while views differ. */
const MAX_LEADERS = 2;
/** Time for which a computed load is reused, in milliseconds. */
const LOAD_CACHE_MS = 20;

/** Route name under which calls count as evidence on a version. */
const CALLS_ROUTE = "calls";

/** A call that was sent. */
interface SentCall {
  readonly endpoint: serving.ServingEndpoint;
  readonly pieces: readonly CalledPiece[];
  readonly startedAt: number;
}

/** Dependencies of a {@link PieceLeader}. */
export interface PieceLeaderOptions {
  readonly service: ServiceId;
  /** Shard of the pool whose endpoints it calls. */
  readonly shard: serving.ShardId;
  readonly getPool: () => serving.PoolSpec | undefined;
  readonly endpointTracker: EndpointTracker;
  readonly rollouts: Rollouts;
  readonly quarantine: RequestQuarantine;
  readonly wire: WireAdapter;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  /** Whether overload control applies. */
  readonly isContended: () => boolean;
  /** Finds the load of the shard that an earlier leader reported last. */
  readonly findReportedLoad: () => ReportedLoad | undefined;
  /** Releases results at the pool that produced them. */
  readonly releaseInputs: (
    owner: serving.InputOwner,
    handles: readonly string[],
  ) => void;
}

/**
 * Holds the queue of one pool shard and keeps one call running at each endpoint.
 *
 * A call is planned only when an endpoint is free, so that it holds as many pieces
 * as possible in the best order.
 */
export class PieceLeader {
  readonly #options: PieceLeaderOptions;
  readonly #endpoints = new serving.PoolEndpoints();
  readonly #resultSpace = new serving.ResultSpace();
  readonly #callLog: CallLog;
  readonly #releaser: ResultReleaser;
  readonly #groups: GroupQueue;
  readonly #order: PoolOrder;
  #queueTimer: NodeJS.Timeout | undefined;
  #dispatchTimer: NodeJS.Timeout | undefined;
  #load: serving.PoolLoad = serving.UNKNOWN_LOAD;
  #loadComputedAt = -Infinity;

  /** @param options The pool, its endpoints and the protocol adapter. */
  constructor(options: PieceLeaderOptions) {
    this.#options = options;
    this.#callLog = new CallLog(options);
    this.#releaser = new ResultReleaser(options.wire, {
      tryStartCall: (address) =>
        options.endpointTracker.startRelease(
          address,
          (endpoint, now) =>
            options.endpointTracker.limits.mayCall(endpoint, now),
        ),
      handleNotices: (address, notices) =>
        options.endpointTracker.recordNoticesOf(address, notices),
      handleReleased: (handles) => {
        this.#freeResultSpace(handles);
        if (this.#groups.waiting.length > 0) this.#dispatchCalls();
      },
    });
    this.#groups = new GroupQueue({
      resultSpace: this.#resultSpace,
      release: (handles) => this.release(handles),
      releaseInputs: options.releaseInputs,
    });
    this.#order = new PoolOrder(options);
  }

  /** Number of queued and running groups. */
  get size(): number {
    return this.#groups.size;
  }

  /** Queues the pieces of a stage and waits for their outcome. */
  addGroup(group: serving.PieceGroup): Promise<serving.PieceOutcome> {
    return new Promise((resolve) => {
      this.#groups.add(createActiveGroup(group, resolve));
      this.#dispatchTimer ??= setTimeout(
        () => this.#dispatchCalls(),
        GROUPING_DELAY_MS,
      );
    });
  }

  /** Drops the groups of a request and releases their results. */
  cancel(requestId: string): void {
    this.#groups.cancel(requestId);
  }

  /** Releases results that are no longer needed. */
  release(handles: readonly string[]): void {
    this.#releaser.add(handles);
  }

  /** Drops what calls over a lost path seemed to show about an endpoint. */
  dropEvidence(id: EndpointId): void {
    this.#endpoints.dropSpeed(id);
  }

  /** Gives the load that is reported to other VMs. */
  getLoad(): serving.PoolLoad {
    const now = performance.now();
    if (now - this.#loadComputedAt < LOAD_CACHE_MS) return this.#load;
    this.#loadComputedAt = now;
    this.#load = this.#estimateLoad(now);
    return this.#load;
  }

  /** Ends every group; the routers that wait for them retry at another leader. */
  close(): void {
    clearInterval(this.#queueTimer);
    clearTimeout(this.#dispatchTimer);
    this.#groups.close();
  }

  #estimateLoad(now: number): serving.PoolLoad {
    const pool = this.#options.getPool();
    if (pool === undefined) return serving.UNKNOWN_LOAD;
    const usable = this.#getCountedEndpoints(now);
    const callable = usable
      .filter((endpoint) => this.#getPauseMs(endpoint, now) === 0);
    const isPaused = usable.length > 0 && callable.length === 0;
    const pausedMs = isPaused
      ? Math.min(...usable.map((endpoint) => this.#getPauseMs(endpoint, now)))
      : undefined;
    const ids = this.#endpoints.getFast(
      (isPaused ? usable : callable).map(({ id }) => id),
    );
    const totalBytes = ids.length * serving.getCapacityBytes(pool);
    const load = serving.estimateLoad({
      queue: this.#groups.waiting,
      pool,
      endpoints: ids.length,
      freeBytes: ids.map((id) => this.#resultSpace.getFreeBytes(id, pool, now)),
      freedBytesPerMs: totalBytes / this.#resultSpace.getHoldMs(pool),
      pausedMs,
      now,
      ...this.#order.planLoad({
        queue: this.#groups.waiting,
        pool,
        endpointIds: ids,
        now,
      }),
    });
    return { ...load, ...this.#order.getReport(now) };
  }

  /**
   * Gives the endpoints that count as capacity: in a contended pool not those that
   * have just broken calls. Four crashed endpoints counted for seconds otherwise.
   */
  #getCountedEndpoints(now: number): serving.ServingEndpoint[] {
    const { endpointTracker } = this.#options;
    const usable = this.#getEndpoints();
    if (!this.#order.isOn) return usable;
    const counted = usable
      .filter(({ id }) => !endpointTracker.isAvoided(id, now));
    // Avoidance ends within seconds; a pool without endpoints would be given up.
    return counted.length > 0 ? counted : usable;
  }

  #getPauseMs(endpoint: serving.ServingEndpoint, now: number): number {
    return this.#options.endpointTracker.limits.getPauseMs(endpoint, now);
  }

  #freeResultSpace(handles: readonly string[]): void {
    const pool = this.#options.getPool();
    const now = performance.now();
    for (const handle of handles) this.#resultSpace.release(handle, pool, now);
  }

  /** Checks the queue regularly while groups wait; an idle leader has no timer. */
  #updateQueueTimer(): void {
    if (this.#groups.waiting.length === 0) {
      clearInterval(this.#queueTimer);
      this.#queueTimer = undefined;
      return;
    }
    if (this.#queueTimer !== undefined) return;
    this.#queueTimer = setInterval(
      () => this.#dispatchCalls(),
      QUEUE_CHECK_INTERVAL_MS,
    );
    this.#queueTimer.unref();
  }

  #dispatchCalls(): void {
    clearTimeout(this.#dispatchTimer);
    this.#dispatchTimer = undefined;
    this.#groups.dropExpired();
    this.#groups.dropQuarantined((fingerprint) =>
      this.#options.quarantine.check({ fingerprint }) !== undefined
    );
    this.#updateQueueTimer();
    const pool = this.#options.getPool();
    if (pool === undefined || this.#groups.waiting.length === 0) return;
    const now = performance.now();
    const usable = this.#getEndpoints();
    const healthy = usable
      .filter((endpoint) =>
        !this.#options.endpointTracker.isAvoided(endpoint.id, now) &&
        this.#getPauseMs(endpoint, now) === 0
      );
    const healthyIds = healthy.map((endpoint) => endpoint.id);
    this.#groups.cancelReservations(new Set(healthyIds));
    const callable = healthy.filter((endpoint) =>
      this.#options.endpointTracker.limits.mayCall(endpoint, now)
    );
    const free = this.#endpoints.getIdle(
      callable.map((endpoint) => endpoint.id),
      now,
    );
    if (free.length === 0) return;
    const fast = new Set(this.#endpoints.getFast(healthyIds));
    const capacities = healthy.map(({ id, zone }) => ({
      endpointId: id,
      zone,
      maxPieces: pool.batchSize,
    }));
    const poolZones = getZones(usable);
    const { ranked, spaceRule } = this.#order.rank({
      queue: this.#groups.waiting,
      pool,
      endpointIds: [...fast],
      now,
    });
    for (const { id, maxPieces } of free) {
      const endpoint = healthy.find((candidate) => candidate.id === id)!;
      const addFreeBytes = (
        capacity: typeof capacities[number],
      ): serving.EndpointCapacity => ({
        ...capacity,
        freeBytes: this.#resultSpace.getFreeBytes(
          capacity.endpointId,
          pool,
          now,
        ),
      });
      const ownCapacity = addFreeBytes(
        capacities.find((capacity) => capacity.endpointId === id)!,
      );
      const others = capacities.filter((capacity) =>
        capacity.endpointId !== id && fast.has(capacity.endpointId)
      );
      for (const candidates of this.#planIsolation(ranked)) {
        const plan = serving.planCall({
          ranked: candidates,
          pool,
          endpoint: { ...ownCapacity, maxPieces: maxPieces ?? pool.batchSize },
          otherEndpoints: others.map(addFreeBytes),
          capacityBytes: serving.getCapacityBytes(pool),
          poolZones,
          spaceRule,
          now,
        });
        if (
          this.#order.isWaitingForSpace(id, plan, pool, this.#resultSpace, now)
        ) {
          break;
        }
        this.#groups.addReservations(plan.reservations);
        if (plan.pieces.length === 0) continue;
        void this.#runCall(endpoint, pool, plan.pieces);
        break;
      }
    }
  }

  #planIsolation(ranked: readonly ActiveGroup[]) {
    const { quarantine } = this.#options;
    return planIsolation(
      ranked,
      ({ group }) => quarantine.isSuspect(group.fingerprint),
    );
  }

  #getEndpoints(): serving.ServingEndpoint[] {
    const { endpointTracker, service, shard } = this.#options;
    const usable = endpointTracker.getCallEndpoints(service);
    if (shard === serving.WHOLE_POOL) return usable;
    return usable.filter((endpoint) => endpoint.zone === shard);
  }

  async #runCall(
    endpoint: serving.ServingEndpoint,
    pool: serving.PoolSpec,
    plan: readonly serving.PlannedPieces[],
  ): Promise<void> {
    const startedAt = performance.now();
    const pieces = plan.flatMap(({ queued, pieces }) =>
      pieces.map((piece) => ({ queued: queued as ActiveGroup, piece }))
    );
    this.#groups.startPieces(plan, endpoint);
    this.#endpoints.recordStart(endpoint.id);
    this.#options.rollouts.recordSent(endpoint, CALLS_ROUTE);
    this.#options.endpointTracker.limits.recordSend(endpoint);
    const bytes = pieces.reduce(
      (sum, called) => sum + called.queued.group.resultBytes,
      0,
    );
    this.#resultSpace.addBytes(endpoint.id, bytes);
    const expectedMs = pool.callMs + pieces.length * pool.pieceMs;
    const isBacklogged = this.#groups.waiting.length > 0;
    const slowdown = this.#endpoints.getSlowdown(endpoint.id);
    this.#order.recordStart(
      { endpointId: endpoint.id, plan, expectedMs: expectedMs * slowdown },
      pool,
      startedAt,
    );
    this.#callLog.recordStart({
      endpointId: endpoint.id,
      batchSize: pool.batchSize,
      plan,
      pieces: pieces.length,
      waiting: this.#groups.waiting.length,
      freeBytes: this.#resultSpace.getFreeBytes(endpoint.id, pool, startedAt),
      promisedBytes: this.#resultSpace.getReservedBytes(endpoint.id),
      deferred: this.#order.deferredCount,
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
      timeoutMs: expectedMs * slowdown * CALL_TIMEOUT_FACTOR +
        CALL_TIMEOUT_MARGIN_MS,
    });
    const tookMs = performance.now() - startedAt;
    this.#resultSpace.removeBytes(endpoint.id, bytes);
    this.#endpoints.recordEnd(
      endpoint.id,
      performance.now(),
      result.kind === "notRun"
        ? undefined
        : { tookMs, expectedMs, isAnswered: result.kind === "done" },
    );
    this.#options.rollouts.recordEnd(
      endpoint,
      CALLS_ROUTE,
      buildCallOutcome(result, tookMs / expectedMs),
    );
    this.#order.recordEnd(
      endpoint.id,
      pool,
      isBacklogged && result.kind === "done"
        ? { tookMs, pieces: pieces.length }
        : undefined,
    );
    this.#callLog.recordEnd({
      endpointId: endpoint.id,
      pieces: pieces.length,
      result,
      tookMs,
      expectedMs,
    });
    this.#handleResult({ endpoint, pieces, startedAt }, result);
    this.#dispatchCalls();
  }

  #handleResult(call: SentCall, result: PieceCallResult): void {
    const { endpointTracker } = this.#options;
    const { endpoint, pieces } = call;
    if (result.notices !== undefined) {
      const isNotRun = result.kind === "notRun";
      const isRejected = isNotRun && result.status === STATUS_REJECTED;
      endpointTracker.recordNotices(endpoint, result.notices, {
        isNotRun,
        rejectedSenders: isRejected ? MAX_LEADERS : undefined,
      });
    }
    match(result)
      .with({ kind: "done" }, (done) => {
        endpointTracker.recordEvidence(endpoint, serving.EVIDENCE.good);
        pieces.forEach((called, index) => {
          const answer = done.pieces[index] ?? { kind: "failed" as const };
          this.#handlePieceAnswer(call, called, answer);
        });
      })
      .with({ kind: "notRun" }, () => {
        this.#endpoints.recordFull(endpoint.id, performance.now());
        for (const called of pieces) this.#groups.requeue(called);
      })
      .with({ kind: "broken" }, ({ isDisconnect }) => {
        endpointTracker.recordEvidence(endpoint, serving.EVIDENCE.broken);
        if (isDisconnect) this.#recordLoss(call);
        for (const called of pieces) this.#groups.recordFailure(called);
      })
      .exhaustive();
  }

  #recordLoss({ endpoint, pieces, startedAt }: SentCall): void {
    const ageMs = performance.now() - startedAt;
    const groups = new Set(pieces.map(({ queued }) => queued.group));
    this.#options.quarantine.losses.record(
      endpoint,
      [...groups].map(({ requestId, fingerprint }) => ({
        requestId,
        fingerprint,
        ageMs,
      })),
    );
  }

  #recordNoSpace(endpointId: EndpointId, { queued }: CalledPiece): void {
    const now = performance.now();
    this.#endpoints.recordFull(endpointId, now);
    const pool = this.#options.getPool();
    if (pool === undefined) return;
    const bytes = queued.group.resultBytes;
    this.#resultSpace.recordNoSpace({ endpointId, bytes }, pool, now);
  }

  #handlePieceAnswer(
    { endpoint, startedAt }: SentCall,
    called: CalledPiece,
    answer: PieceAnswer,
  ): void {
    match(answer)
      .with({ kind: "made" }, ({ handle }) => {
        const stored = {
          endpointId: endpoint.id,
          handle,
          bytes: called.queued.group.resultBytes,
          since: startedAt,
        };
        const { fingerprint } = called.queued.group;
        const { service } = this.#options;
        this.#options.quarantine.recordCompletion({ service, fingerprint });
        this.#resultSpace.keep(
          stored,
          this.#options.getPool(),
          performance.now(),
        );
        this.#groups.recordResult(called, { handle, zone: endpoint.zone });
      })
      .with({ kind: "noRoom" }, () => {
        this.#recordNoSpace(endpoint.id, called);
        this.#groups.requeue(called);
      })
      .with({ kind: "failed" }, () => this.#groups.recordFailure(called))
      .with({ kind: "late" }, () => this.#groups.finishLate(called.queued))
      .with(
        { kind: "inputGone" },
        () => this.#groups.finish(called.queued, { kind: "inputGone" }),
      )
      .exhaustive();
  }
}
