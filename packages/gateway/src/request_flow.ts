/**
 * The chain that every request passes: who it is from, whether it is taken, its
 * stages, and its endpoint.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as serving from "@sardinestep/serving";
import type { ServiceId, ZoneId } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { AnswerWriter } from "./answer_writer.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import { EVENT } from "./events.ts";
import {
  buildStageResult,
  finishRequest,
  recordFirstEvent,
  refuseRequest,
  UNAVAILABLE_RETRY_AFTER_MS,
} from "./final_answer.ts";
import { sendRequest } from "./forward.ts";
import type { HttpPool } from "./http_pool.ts";
import type { PeerMesh } from "./peer_mesh.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { CallerFacts, ServingWire } from "./ports.ts";
import { END, type RequestScope } from "./request_scope.ts";
import type { SiteState } from "./site_state.ts";
import { StageRun, type StageRunOutcome } from "./stage_run.ts";

/** What the chain needs of this VM. */
export interface FlowParts {
  readonly zone: string;
  readonly site: SiteState;
  readonly book: EndpointBook;
  readonly pool: HttpPool;
  readonly wire: ServingWire;
  readonly router: PieceRouter;
  readonly mesh: PeerMesh;
  readonly repeats: serving.RepeatBudget;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  /** How far this VM's stop is, if it was told to stop. */
  readonly getStop: () => serving.StopState | undefined;
}

/** A caller's request after its body was read. */
export interface ArrivedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly body?: Uint8Array;
  readonly caller: CallerFacts;
  readonly scope: RequestScope;
  readonly writer: AnswerWriter;
}

/** A request whose route, customer and service are known. */
export interface RoutedRequest extends ArrivedRequest {
  readonly requestId: string;
  readonly table: serving.RouteTable;
  readonly route: serving.Route;
  readonly service: ServiceId;
  readonly customer?: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly session?: serving.PromptPart;
  /** Longest time until the final answer, from the arrival, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Time from the last result to a stream's first event, in milliseconds: reading
 * a usual prompt takes 60 to 190 ms, queues behind other prompts are short.
 */
const FIRST_EVENT_MS = 150;
/** Share of a route's time by which the patience of first attempts differs. */
const PATIENCE_SPREAD = 0.15;
/** What callers wait before they ask a VM that has just started, in ms. */
const START_RETRY_AFTER_MS = 1_000;
/** Another VM serves at once; the caller opens a new connection to it, in ms. */
const STOP_RETRY_AFTER_MS = 50;

/** Serves one request to its final answer. */
export async function runRequest(
  parts: FlowParts,
  arrived: ArrivedRequest,
): Promise<void> {
  const routed = findTarget(parts, arrived);
  if ("failure" in routed) {
    return refuseRequest(parts, arrived, routed.failure);
  }
  await handleRequest(parts, routed.request);
}

/** Finds route, customer and service, or says why the request isn't allowed. */
function findTarget(
  parts: FlowParts,
  arrived: ArrivedRequest,
): { request: RoutedRequest } | { failure: codes.Failure } {
  const { caller } = arrived;
  const { table } = parts.site;
  if (table === undefined) {
    return fail("NO_CONFIGURATION", "No configuration has been read yet", {
      retryAfterMs: START_RETRY_AFTER_MS,
    });
  }
  const { requestId } = caller;
  if (requestId === undefined) {
    return fail("INVALID_REQUEST", "The request has no id");
  }
  const route = table.findRoute(arrived.host, arrived.path);
  if (route === undefined) {
    return fail("NO_SUCH_ROUTE", `No route for host "${arrived.host}"`);
  }
  const customer = table.findCustomer(route, caller.apiKey);
  if (customer.kind === "unknownKey") {
    return fail("CREDENTIAL_INVALID", "The API key is missing or unknown");
  }
  const session = serving.getSession(caller.prompt);
  const service = serving.pickService(route, session?.id ?? requestId);
  if (service === undefined) {
    return fail("STAGE_UNAVAILABLE", `Route "${route.name}" has no service`, {
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
    });
  }
  const leftMs = Math.min(
    caller.deadlineMs ?? route.timeoutMs,
    route.timeoutMs,
  );
  if (!serving.mayServeWhileStopping(parts.getStop(), leftMs)) {
    return fail("SHUTTING_DOWN", "This VM stops; another one serves", {
      retryAfterMs: STOP_RETRY_AFTER_MS,
    });
  }
  return {
    request: {
      ...arrived,
      requestId,
      table,
      route,
      service,
      customer: serving.getCustomerId(customer),
      rank: serving.getRank(route, customer),
      session,
      leftMs,
    },
  };
}

async function handleRequest(
  parts: FlowParts,
  request: RoutedRequest,
): Promise<void> {
  const { scope, route } = request;
  parts.repeats.recordRequest(request.service, performance.now());
  const run = createStageRun(parts, request);
  const refusal = checkAdmission(parts, request, run);
  if (refusal !== undefined) return refuseRequest(parts, request, refusal);
  const timer = setTimeout(
    () => scope.end(END.timeUp),
    Math.max(0, request.leftMs - scope.ageMs),
  );
  const hasStages = route.stages.length > 0;
  const staged: StageRunOutcome = hasStages
    ? await run.run()
    : { kind: "made", inputs: [], inputBytes: {} };
  const result = staged.kind === "made"
    ? await sendRequest(parts, request, {
      staged,
      handleInputsRead: () => run.release(),
      handleFirstEvent: () => recordFirstEvent(parts, request),
      remakeInputs: async () => {
        run.release();
        const again = await run.run();
        return again.kind === "made" ? again : undefined;
      },
    })
    : buildStageResult(staged, request.leftMs - scope.ageMs);
  clearTimeout(timer);
  run.release();
  finishRequest(parts, request, result);
  scope.end(END.done);
}

function createStageRun(parts: FlowParts, request: RoutedRequest): StageRun {
  const { route, session, table, service, caller } = request;
  const candidates = parts.book.getCandidates(
    table.services.get(service),
    service,
  );
  const readerZone = session === undefined
    ? undefined
    : serving.pickHomeZone(candidates, session.id);
  const getShard = planShards(parts, request, readerZone);
  return new StageRun({
    requestId: request.requestId,
    route,
    services: table.services,
    pieceCounts: caller.pieceCounts,
    pieceKey: caller.pieceKey,
    rank: request.rank,
    readerZone,
    getShard,
    getLoad: (one) => parts.mesh.leaders.getLoad(one, getShard(one)),
    firstEventMs: FIRST_EVENT_MS,
    objectiveMs: route.objectiveMs,
    leftMs: request.leftMs,
    isReturn: isReturning(request),
    scope: request.scope,
    router: parts.router,
    events: parts.events,
  });
}

/** Services whose endpoints work on pieces of the request. */
function getPieceServices(request: RoutedRequest): ReadonlySet<ServiceId> {
  const { route, caller } = request;
  return new Set(
    route.stages
      .filter((_, stage) => (caller.pieceCounts[stage] ?? 0) > 0)
      .map((stage) => stage.service),
  );
}

/** Chooses the shards that work on the request; they stay for its life. */
function planShards(
  parts: FlowParts,
  request: RoutedRequest,
  readerZone: ZoneId | undefined,
): (service: ServiceId) => serving.ShardId {
  const { leaders } = parts.mesh;
  const services = getPieceServices(request);
  const isWhole = leaders.getShard(parts.zone) === serving.WHOLE_POOL;
  if (isWhole) return () => serving.WHOLE_POOL;
  const graph = createStageGraph(request);
  const getOutlook = (zone: ZoneId): serving.ZoneOutlook => {
    const loads = getLoads(parts, services, () => zone);
    return {
      expectedMs: graph.getExpectedMs(buildWaits(request, loads)),
      usablePools: [...loads.values()]
        .filter((load) => load.endpoints > 0).length,
    };
  };
  const zone = serving.pickShardZone({
    zones: new Map([...leaders.zones].map((one) => [one, getOutlook(one)])),
    pools: services.size,
    readerZone,
    ownZone: parts.zone,
  }) ?? readerZone ?? parts.zone;
  const shards = new Map([...services].map((service) => [
    service,
    leaders.pickShard(service, zone),
  ]));
  return (service) => shards.get(service) ?? zone;
}

function createStageGraph(request: RoutedRequest): serving.StageGraph {
  return new serving.StageGraph({
    stages: request.route.stages,
    pieceCounts: request.caller.pieceCounts,
    services: request.table.services,
  });
}

/** Loads of the pools on a request's way, as far as they are known. */
function getLoads(
  parts: FlowParts,
  services: Iterable<ServiceId>,
  getShard: (service: ServiceId) => serving.ShardId,
): ReadonlyMap<ServiceId, serving.PoolLoad> {
  const { leaders } = parts.mesh;
  return new Map([...services].flatMap((service) => {
    const load = leaders.getLoad(service, getShard(service));
    return load === undefined ? [] : [[service, load] as const];
  }));
}

/** Gives the wait of each stage by what its pool tells. */
function buildWaits(
  request: RoutedRequest,
  loads: ReadonlyMap<ServiceId, serving.PoolLoad>,
): (stage: number) => number {
  const { route, caller, rank } = request;
  const isLate = isReturning(request);
  return (stage) => {
    const { service, resultBytes } = route.stages[stage]!;
    const pieces = caller.pieceCounts[stage] ?? 0;
    const load = loads.get(service);
    return load === undefined ? 0 : serving.getExpectedWait(load, {
      rank,
      pieces,
      resultBytes,
      isLate,
    });
  };
}

/**
 * A caller that was refused comes back with less time than first attempts have,
 * whose patience differs by some of the route's time.
 */
function isReturning({ caller, route }: RoutedRequest): boolean {
  const usualMs = route.timeoutMs * (1 - PATIENCE_SPREAD);
  return caller.deadlineMs !== undefined && caller.deadlineMs < usualMs;
}

function checkAdmission(
  parts: FlowParts,
  request: RoutedRequest,
  run: StageRun,
): codes.Failure | undefined {
  const { route, rank, caller } = request;
  const services = getPieceServices(request);
  const loads = getLoads(parts, services, (one) => run.getShard(one));
  const getWaitMs = buildWaits(request, loads);
  const stagesMs = run.getExpectedMs();
  const decision = serving.decideAdmission({
    stagesMs,
    waitMs: run.getExpectedMs(getWaitMs) - stagesMs,
    firstEventMs: route.stages.length > 0 ? FIRST_EVENT_MS : 0,
    objectiveMs: route.objectiveMs,
    leftMs: request.leftMs,
    isReturn: isReturning(request),
  });
  parts.events.write(EVENT.requestAdmitted, {
    requestId: request.requestId,
    route: route.name,
    service: request.service,
    customer: request.customer,
    rank,
    leftMs: request.leftMs,
    isReturn: isReturning(request),
    session: request.session?.id,
    pieces: caller.pieceCounts,
    decision: decision.kind,
    expectedMs: Math.round(decision.expectedMs),
    waits: route.stages.map((_, stage) => Math.round(getWaitMs(stage))),
    configuration: request.table.version,
  });
  return match(decision)
    .with({ kind: "admitted" }, () => undefined)
    .with(
      { kind: "refused" },
      ({ reason, expectedMs, retryAfterMs }) =>
        codes.createFailure(
          reason === serving.REFUSAL.busy
            ? "QUEUE_FULL"
            : "DEADLINE_OUT_OF_REACH",
          `An answer would take ${Math.round(expectedMs)} ms`,
          { retryAfterMs },
        ),
    )
    .exhaustive();
}

function fail(
  code: codes.CodeName,
  message: string,
  options: codes.FailureOptions = {},
): { failure: codes.Failure } {
  return { failure: codes.createFailure(code, message, options) };
}
