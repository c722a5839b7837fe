/**
 * Requests with a chain of three stages, for tests without a network.
 *
 * @module
 */
import * as forecast from "@sardinestep/forecast";
import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as serving from "@sardinestep/serving";
import type { AnswerWriter } from "./answer_writer.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { FlowDependencies } from "./flow_types.ts";
import type { LeaderTable } from "./leader_table.ts";
import type { PeerMesh } from "./peer_mesh.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { RequestScope } from "./request_scope.ts";
import type { SiteState } from "./site_state.ts";
import { StageForecast } from "./stage_forecast.ts";
import { StageRun } from "./stage_run.ts";

const POOL: serving.PoolSpec = {
  batchSize: 10,
  callMs: 150,
  pieceMs: 10,
  roomBytes: 1_000_000,
  resultTtlMs: 4_000,
};

/** Time of a full call of a pool, in milliseconds. */
export const FULL_CALL_MS = 250;

/** A route whose three stages run one after another in pools a, b and c. */
export const ROUTE: serving.Route = {
  name: "desk",
  host: "desk",
  pathPrefix: "/",
  kind: serving.ROUTE_KIND.stream,
  timeoutMs: 5_000,
  objectiveMs: 1_600,
  priority: 0,
  targets: [{ service: "engine", weight: 1 }],
  maxAttempts: 1,
  stages: ["a", "b", "c"].map((service, stage) => ({
    service,
    after: stage === 0 ? [] : [stage - 1],
    resultBytes: 100,
  })),
  isPublic: true,
  isResumable: false,
};

const TABLE = new serving.RouteTable({
  version: 1,
  routes: [ROUTE],
  services: ["a", "b", "c", "engine"].map((name) => ({
    name,
    healthPath: "/",
    coldStartMs: 0,
    coldPerSecond: 0,
    pool: name === "engine" ? undefined : POOL,
  })),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

/** Builds the load of a pool whose queue is given by its waits in ms. */
export function buildLoad(onTimeMs: number, allMs: number): serving.PoolLoad {
  return {
    endpoints: 2,
    freedBytesPerMs: 1_000,
    sizes: [{
      resultBytes: 100,
      freePieces: 1_000,
      ranks: [{ rank: 0, waitMs: onTimeMs, queuedPieces: 0 }],
      late: { waitMs: allMs, queuedPieces: 0 },
    }],
  };
}

/** A VM whose pools are simulated. */
export class ChainHarness {
  readonly state = {
    errors: new forecast.ForecastErrors(),
    ahead: new forecast.AheadWork(),
  };
  readonly loads = new Map<string, serving.PoolLoad>();
  readonly groups: serving.PieceGroup[] = [];
  readonly lines: Record<string, unknown>[] = [];
  readonly failures: { code: string; retryAfterMs?: number }[] = [];
  isContended = true;
  /** Outcome of the pieces of a stage. */
  runPieces = (_: serving.PieceGroup): Promise<serving.PieceOutcome> =>
    Promise.resolve({ kind: "made", results: [{ handle: "h", zone: "z" }] });
  readonly #events = new logger.EventLog({
    process: "test",
    vmId: "vm-1",
    output: {
      writableLength: 0,
      write: (text: string) => {
        this.lines.push(JSON.parse(text));
        return true;
      },
    },
  });
  readonly #router: Partial<PieceRouter> = {
    run: (_service, _shard, group) => {
      this.groups.push(group);
      return this.runPieces(group);
    },
    cancel: () => {},
    release: () => Promise.resolve(),
  };

  /** Creates the stages of a request. */
  createRun(overrides: { isReturn?: boolean } = {}) {
    const { isReturn = false } = overrides;
    const scope = new RequestScope();
    const stageForecast = new StageForecast({
      ...this.state,
      route: ROUTE,
      defaultFirstEventMs: 150,
      isReturn,
    });
    const run = new StageRun({
      requestId: "r1",
      fingerprint: "f1",
      route: ROUTE,
      services: TABLE.services,
      pieceCounts: [4, 4, 4],
      rank: 0,
      customer: "customer-1",
      getShard: () => serving.WHOLE_POOL,
      getLoad: (service) => this.loads.get(service),
      firstEventMs: stageForecast.firstEventMs,
      forecast: this.isContended ? stageForecast : undefined,
      objectiveMs: ROUTE.objectiveMs,
      leftMs: ROUTE.timeoutMs,
      isReturn,
      scope,
      router: this.#router as PieceRouter,
      events: this.#events,
    });
    return { run, scope, stageForecast };
  }

  /** Builds a request and the parts that its admission needs. */
  createRequest(deadlineMs?: number) {
    const writer: Partial<AnswerWriter> = {
      writeFailure: (failure) => {
        this.failures.push(failure);
      },
    };
    const request = {
      method: "POST",
      path: "/",
      host: ROUTE.host,
      rawHeaders: [],
      caller: {
        requestId: "r1",
        deadlineMs,
        prompt: [],
        pieceCounts: [4, 4, 4],
      },
      scope: new RequestScope(),
      writer: writer as AnswerWriter,
    };
    return { request, deps: this.#createDependencies() };
  }

  #createDependencies(): FlowDependencies {
    const leaders: Partial<LeaderTable> = {
      getShard: () => serving.WHOLE_POOL,
      getLoad: (service) => this.loads.get(service),
    };
    const mesh: Partial<PeerMesh> = { leaders: leaders as LeaderTable };
    const endpointTracker: Partial<EndpointTracker> = {
      getCandidates: () => [],
      getUsableEndpoints: () => [],
      getLimitWaitMs: () => 0,
    };
    const quarantine: Partial<RequestQuarantine> = { check: () => undefined };
    const site: Partial<SiteState> = { table: TABLE };
    const retryBudget: Partial<serving.RetryBudget> = {
      recordRequest: () => {},
    };
    const deps: Partial<FlowDependencies> = {
      zone: "z",
      site: site as SiteState,
      endpointTracker: endpointTracker as EndpointTracker,
      mesh: mesh as PeerMesh,
      retryBudget: retryBudget as serving.RetryBudget,
      quarantine: quarantine as RequestQuarantine,
      router: this.#router as PieceRouter,
      events: this.#events,
      metrics: new metrics.Metrics({ prefix: "test" }),
      forecast: this.state,
      getStopState: () => undefined,
      isContended: () => this.isContended,
    };
    return deps as FlowDependencies;
  }
}
