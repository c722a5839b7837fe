/**
 * Execution of the stages of one request.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as serving from "@sardinestep/serving";
import type { CustomerId, ServiceId, ZoneId } from "@sardinestep/types";
import { match } from "ts-pattern";
import { EVENT } from "./events.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { RequestScope } from "./request_scope.ts";
import type { StageForecast } from "./stage_forecast.ts";

/** How the stages of a request ended. */
export type StageRunOutcome =
  | {
    readonly kind: "made";
    readonly inputs: readonly string[];
    /** Bytes of the inputs, by the zone that stores them. */
    readonly inputBytes: Readonly<Record<ZoneId, number>>;
  }
  | { readonly kind: "late"; readonly stage: number; readonly waitedMs: number }
  | { readonly kind: "failed"; readonly stage: number; readonly reason: string }
  | { readonly kind: "ended" };

/** Options of a {@link StageRun}. */
export interface StageRunOptions {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly route: serving.Route;
  readonly services: ReadonlyMap<string, serving.ServiceSpec>;
  readonly pieceCounts: readonly number[];
  readonly pieceKey?: string;
  readonly rank: number;
  readonly customer?: CustomerId;
  /** Zone in which the request itself will probably run. */
  readonly readerZone?: ZoneId;
  /** Gives the shard of a service's pool that works on the request. */
  readonly getShard: (service: ServiceId) => serving.ShardId;
  /** Gives the load of that shard, if known. */
  readonly getLoad: (service: ServiceId) => serving.PoolLoad | undefined;
  readonly firstEventMs: number;
  /** Set where overload control applies. */
  readonly forecast?: StageForecast;
  readonly objectiveMs: number;
  readonly leftMs: number;
  /** Whether the caller retries after a refusal. */
  readonly isReturn: boolean;
  readonly scope: RequestScope;
  readonly router: PieceRouter;
  readonly events: logger.EventLog;
}

/** Maximum number of times that the stages run when results are lost. */
const MAX_GRAPH_RUNS = 3;
/**
 * Time before its last chance at which a return is due on a contended site, in
 * milliseconds: one full call, and half of one for the wait for an endpoint.
 */
const RETURN_DUE_LEAD_MS = 400;
/** Share of a full batch that calls have under overload. */
const CONTENDED_CALL_FILL = 1;

/**
 * Starts each stage once its inputs are complete and releases results as early as
 * possible.
 *
 * When an endpoint that kept results is gone, the stages run again, as often as time
 * and {@link MAX_GRAPH_RUNS} allow, instead of failing the request.
 */
export class StageRun {
  readonly #options: StageRunOptions;
  readonly #released = new Set<string>();
  #graph: serving.StageGraph;
  #hasRun = false;

  /** @param options The request and its stages. */
  constructor(options: StageRunOptions) {
    this.#options = options;
    this.#graph = this.#createGraph();
  }

  /** Expected time of all stages in ms, including the given queue waits. */
  getExpectedMs(getWaitMs?: (stage: number) => number): number {
    return this.#graph.getExpectedMs(getWaitMs);
  }

  /** Gives the shard of a service's pool that works on the request. */
  getShard(service: ServiceId): serving.ShardId {
    return this.#options.getShard(service);
  }

  /** Identifies the shard of a pool that runs a stage. */
  getPoolKey(stage: number): string {
    const { service } = this.#options.route.stages[stage]!;
    return `${service}\0${this.getShard(service)}`;
  }

  /** Runs all stages until they are done, fail, or the request ends. */
  async run(): Promise<StageRunOutcome> {
    let outcome: StageRunOutcome = { kind: "ended" };
    for (let runIndex = 0; runIndex < MAX_GRAPH_RUNS; runIndex++) {
      if (this.#hasRun) this.#graph = this.#createGraph();
      this.#hasRun = true;
      this.#options.forecast?.dropForecasts();
      const result = await this.#runGraph();
      if (result.kind !== "inputGone") return result;
      this.release();
      outcome = { kind: "failed", stage: result.stage, reason: "results lost" };
    }
    return outcome;
  }

  /** Releases every result that is still kept. */
  release(): void {
    this.#options.forecast?.release();
    this.#releaseGraph(this.#graph);
  }

  get #callFill(): number | undefined {
    return this.#options.forecast === undefined
      ? undefined
      : CONTENDED_CALL_FILL;
  }

  #createGraph(): serving.StageGraph {
    const { route, pieceCounts, services } = this.#options;
    return new serving.StageGraph({
      stages: route.stages,
      pieceCounts,
      services,
      callFill: this.#callFill,
    });
  }

  #runGraph(): Promise<
    StageRunOutcome | { readonly kind: "inputGone"; readonly stage: number }
  > {
    const { scope } = this.#options;
    const graph = this.#graph;
    return new Promise((resolve) => {
      let isOver = false;
      const finish = (outcome: Parameters<typeof resolve>[0]) => {
        if (isOver) return;
        isOver = true;
        removeEndListener();
        resolve(outcome as StageRunOutcome);
      };
      const removeEndListener = scope.addEndListener(() => {
        this.#cancel();
        finish({ kind: "ended" });
      });
      const advance = () => {
        if (isOver) return;
        if (graph.isDone) {
          const inputs = graph.getFinalResults();
          return finish({
            kind: "made",
            inputs: inputs.map((input) => input.handle),
            inputBytes: graph.getFinalBytes(),
          });
        }
        for (const start of graph.startStages()) {
          void this.#runStage(start).then((outcome) =>
            match(outcome)
              .with({ kind: "made" }, ({ results }) => {
                graph.recordResults(start.stage, results);
                if (isOver) return this.#releaseGraph(graph);
                this.#recordForecast(graph, start.stage);
                this.#releaseHandles(
                  graph,
                  graph.getReleasableHandles(start.stage),
                );
                advance();
              })
              .when(() => isOver, () => {})
              .with({ kind: "late" }, ({ waitedMs }) => {
                this.#cancel();
                finish({ kind: "late", stage: start.stage, waitedMs });
              })
              .with({ kind: "inputGone" }, () => {
                this.#cancel();
                finish({ kind: "inputGone", stage: start.stage });
              })
              .with({ kind: "unavailable" }, ({ reason }) => {
                this.#cancel();
                finish({ kind: "failed", stage: start.stage, reason });
              })
              .exhaustive()
          );
        }
      };
      advance();
    });
  }

  async #runStage(start: serving.StageStart): Promise<serving.PieceOutcome> {
    const { route, scope, router, events, requestId, getShard } = this.#options;
    const spec = route.stages[start.stage]!;
    const now = performance.now();
    const pool = this.#options.services.get(spec.service)?.pool;
    const callMs = pool === undefined
      ? 0
      : serving.getExpectedCallMs(pool, this.#callFill);
    const { forecast } = this.#options;
    forecast?.removeAhead(start.stage);
    const marginMs = forecast?.getMarginMs(start.stage) ?? 0;
    const remainingMs = callMs + start.downstreamMs +
      this.#options.firstEventMs;
    // A request that is retried after a refusal is late from the start.
    const objectiveMs = this.#options.isReturn ? 0 : this.#options.objectiveMs;
    const objectiveDueAt = scope.startedAt + objectiveMs - remainingMs -
      marginMs;
    // Without the margin: an answer that only may be too late is still worth a start.
    const expiresAt = scope.startedAt + this.#options.leftMs - remainingMs;
    // Its last chance to be answered is what a return has left to meet.
    const dueAt = forecast !== undefined && this.#options.isReturn
      ? expiresAt - RETURN_DUE_LEAD_MS
      : objectiveDueAt;
    const { isInvested } = start;
    // Admission refuses what can't be answered, so an accepted request that is late
    // stays queued for as long as its caller can be reached.
    const giveUpAt = forecast !== undefined ? expiresAt : serving.planGiveUp({
      isInvested,
      isReturn: this.#options.isReturn,
      now,
      dueAt,
      expiresAt,
    });
    events.write(EVENT.stageQueued, {
      requestId,
      stage: start.stage,
      service: spec.service,
      shard: getShard(spec.service),
      pieces: start.pieces,
      dueInMs: Math.round(dueAt - now),
      expiresInMs: Math.round(expiresAt - now),
      giveUpInMs: Math.round(giveUpAt - now),
    });
    const outcome = await router.run(spec.service, getShard(spec.service), {
      requestId,
      fingerprint: this.#options.fingerprint,
      stage: start.stage,
      pieces: start.pieces,
      key: spec.after.length === 0 ? this.#options.pieceKey : undefined,
      inputs: start.inputs,
      resultBytes: spec.resultBytes,
      inputOwner: this.#findEarlyReleaseOwner(start),
      rank: this.#options.rank,
      customer: this.#options.customer,
      isInvested,
      localBytes: this.#getLocalBytes(start, spec.resultBytes),
      dueAt,
      marginMs: this.#options.isReturn ? 0 : marginMs,
      expiresAt,
      giveUpAt,
    });
    events.write(EVENT.stageDone, {
      requestId,
      stage: start.stage,
      outcome: outcome.kind,
      reason: outcome.kind === "unavailable" ? outcome.reason : undefined,
      tookMs: Math.round(performance.now() - now),
    });
    return outcome;
  }

  #recordForecast(graph: serving.StageGraph, stage: number): void {
    const { forecast, route, rank, pieceCounts, getLoad, scope } =
      this.#options;
    if (forecast === undefined) return;
    const getWaitMs = (later: number) => {
      const { service, resultBytes } = route.stages[later]!;
      const load = getLoad(service);
      const pieces = pieceCounts[later] ?? 0;
      const isLate = false;
      return load === undefined
        ? 0
        : serving.getExpectedWait(load, { rank, pieces, resultBytes, isLate });
    };
    forecast.recordResult({
      stage,
      ageMs: scope.ageMs,
      restMs: graph.getRemainingMs(),
      remainingWithWaitsMs: graph.getRemainingMs(getWaitMs),
      isLast: graph.isDone,
    });
  }

  /**
   * Finds the pool at which a stage's inputs are released early, if its result space
   * is short: as soon as the inputs are read instead of when the stage is done, which
   * frees their space one call earlier. Repeating a failed piece then requires
   * repeating the previous stage.
   */
  #findEarlyReleaseOwner(
    start: serving.StageStart,
  ): serving.InputOwner | undefined {
    if (start.inputStage === undefined) return undefined;
    const { route, getLoad, getShard } = this.#options;
    const { service, resultBytes } = route.stages[start.inputStage]!;
    const load = getLoad(service);
    const isShort = load !== undefined &&
      serving.isShortOfSpace(load, resultBytes);
    return isShort ? { service, shard: getShard(service) } : undefined;
  }

  #getLocalBytes(
    start: serving.StageStart,
    resultBytes: number,
  ): Record<ZoneId, number> {
    const { readerZone } = this.#options;
    const bytes: Record<ZoneId, number> = {};
    for (const [zone, pieceBytes] of Object.entries(start.inputBytes)) {
      bytes[zone] = pieceBytes * start.pieces;
    }
    if (start.isLast && readerZone !== undefined) {
      bytes[readerZone] = (bytes[readerZone] ?? 0) + resultBytes * start.pieces;
    }
    return bytes;
  }

  #cancel(): void {
    const { route, router, requestId, getShard } = this.#options;
    const services = new Set(route.stages.map((stage) => stage.service));
    for (const service of services) {
      router.cancel(service, getShard(service), requestId);
    }
  }

  #releaseGraph(graph: serving.StageGraph): void {
    this.#releaseHandles(graph, graph.getAllHandles());
  }

  #releaseHandles(
    graph: serving.StageGraph,
    handles: readonly string[],
  ): void {
    const { route, router, getShard } = this.#options;
    const unreleased = new Set(
      handles.filter((handle) => !this.#released.has(handle)),
    );
    for (const handle of unreleased) this.#released.add(handle);
    const byService = new Map<string, string[]>();
    route.stages.forEach(({ service }, stage) => {
      const serviceHandles = graph.getHandles(stage).filter((handle) =>
        unreleased.has(handle)
      );
      byService.set(service, [
        ...byService.get(service) ?? [],
        ...serviceHandles,
      ]);
    });
    for (const [service, serviceHandles] of byService) {
      void router.release(service, getShard(service), serviceHandles);
    }
  }
}
