/**
 * The processing of a request: routing, admission, stages and forwarding.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as quarantine from "@sardinestep/quarantine";
import * as serving from "@sardinestep/serving";
import { match } from "ts-pattern";
import { decideChainLane } from "./chain_lane.ts";
import { EVENT } from "./events.ts";
import {
  buildStageFailure,
  buildStoppingRefusal,
  recordFirstEvent,
  refuseRequest,
  UNAVAILABLE_RETRY_AFTER_MS,
  writeFinalAnswer,
} from "./final_answer.ts";
import type {
  ArrivedRequest,
  FlowDependencies,
  RoutedRequest,
} from "./flow_types.ts";
import { sendRequest } from "./forward.ts";
import {
  buildStageWaits,
  getPieceServices,
  getPoolLoads,
  isRetryAfterRefusal,
  planShards,
} from "./request_loads.ts";
import { END_REASON } from "./request_scope.ts";
import { StageForecast } from "./stage_forecast.ts";
import { findResumedStream } from "./resumed_stream.ts";
import { StageRun, type StageRunOutcome } from "./stage_run.ts";
import { StreamVersion } from "./stream_version.ts";

/**
 * Expected time from the last stage result to the first event, in milliseconds.
 * Endpoints take 60 to 190 ms to read a usual prompt and have short queues.
 */
const EXPECTED_FIRST_EVENT_MS = 150;
/** Retry delay while this VM is still starting, in milliseconds. */
const STARTING_RETRY_AFTER_MS = 1_000;
/**
 * Longest retry delay when endpoints are paused or at their rate limits, in
 * milliseconds; another VM may be allowed to send earlier.
 */
const MAX_RATE_LIMIT_RETRY_AFTER_MS = 1_000;

/** Processes one request up to its final answer. */
export async function runRequest(
  deps: FlowDependencies,
  arrived: ArrivedRequest,
): Promise<void> {
  const routed = resolveTarget(deps, arrived);
  if ("failure" in routed) {
    return refuseRequest(deps, arrived, routed.failure);
  }
  const resumed = await findResumedStream(deps, routed.request);
  if ("failure" in resumed) {
    return refuseRequest(deps, arrived, resumed.failure);
  }
  await processRequest(deps, resumed.request);
}

/** Resolves route, customer and service, or returns why the request is refused. */
function resolveTarget(
  deps: FlowDependencies,
  arrived: ArrivedRequest,
): { request: RoutedRequest } | { failure: codes.Failure } {
  const { caller } = arrived;
  const { table } = deps.site;
  if (table === undefined) {
    return refuse("NO_CONFIGURATION", "No configuration has been loaded yet", {
      retryAfterMs: STARTING_RETRY_AFTER_MS,
    });
  }
  const { requestId } = caller;
  if (requestId === undefined) {
    return refuse("INVALID_REQUEST", "The request has no request id");
  }
  const route = table.findRoute(arrived.host, arrived.path);
  if (route === undefined) {
    return refuse("NO_SUCH_ROUTE", `No route matches host "${arrived.host}"`);
  }
  const customer = table.findCustomer(route, caller.apiKey);
  if (customer.kind === "unknownKey") {
    return refuse("CREDENTIAL_INVALID", "The API key is missing or unknown");
  }
  const customerId = serving.getCustomerId(customer);
  const session = serving.getSession(caller.prompt);
  const service = serving.pickService(
    route,
    session?.id ?? caller.streamOrigin ?? requestId,
  );
  if (service === undefined) {
    return refuse(
      "STAGE_UNAVAILABLE",
      `Route "${route.name}" has no service to send to`,
      {
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
      },
    );
  }
  const partIds = caller.prompt.map(({ id }) => id);
  const fingerprint = quarantine.buildFingerprint({
    ...arrived,
    customer: customerId,
    partIds,
  });
  const { model } = caller;
  const partKeys = quarantine.buildPartKeys({ service, model, partIds });
  const refusal = deps.quarantine.check({ fingerprint, partKeys });
  if (refusal !== undefined) return { failure: refusal };
  const timeoutMs = Math.min(
    caller.deadlineMs ?? route.timeoutMs,
    route.timeoutMs,
  );
  const leftMs = timeoutMs - arrived.scope.ageMs;
  if (!serving.mayServeWhileStopping(deps.getStopState(), leftMs)) {
    return { failure: buildStoppingRefusal() };
  }
  return {
    request: {
      ...arrived,
      requestId,
      fingerprint,
      partKeys,
      table,
      route,
      service,
      customer: customerId,
      rank: serving.getRequestRank(route, customer),
      session,
      timeoutMs,
    },
  };
}

async function processRequest(
  deps: FlowDependencies,
  request: RoutedRequest,
): Promise<void> {
  const { scope, route } = request;
  deps.retryBudget.recordRequest(request.service, performance.now());
  const stageForecast = createStageForecast(deps, request);
  const run = createStageRun(deps, request, stageForecast);
  const refusal = checkAdmission(deps, request, run, stageForecast);
  if (refusal !== undefined) return refuseRequest(deps, request, refusal);
  scope.startDeadline(request.timeoutMs);
  const hasStages = route.stages.length > 0;
  const staged: StageRunOutcome = hasStages
    ? await run.run()
    : { kind: "made", inputs: [], inputBytes: {} };
  const result = staged.kind === "made"
    ? await sendRequest(deps, request, {
      staged,
      handleInputsRead: () => run.release(),
      handleFirstEvent: () => recordFirstEvent(deps, request, stageForecast),
      rerunStages: async () => {
        run.release();
        const rerun = await run.run();
        return rerun.kind === "made" ? rerun : undefined;
      },
    })
    : buildStageFailure(staged, request.timeoutMs - scope.ageMs);
  // Routes without events have their first event with the answer.
  if (result.kind === "answered") {
    stageForecast?.recordFirstEvent(scope.ageMs);
  }
  run.release();
  writeFinalAnswer(deps, request, result);
  scope.end(END_REASON.done);
}

/** Creates the forecast of a request with stages where overload control applies. */
function createStageForecast(
  deps: FlowDependencies,
  request: RoutedRequest,
): StageForecast | undefined {
  const hasPieces = getPieceServices(request).size > 0;
  if (!deps.isContended() || !hasPieces) return undefined;
  return new StageForecast({
    ...deps.forecast,
    route: request.route,
    defaultFirstEventMs: EXPECTED_FIRST_EVENT_MS,
    isReturn: isRetryAfterRefusal(request),
  });
}

function createStageRun(
  deps: FlowDependencies,
  request: RoutedRequest,
  stageForecast: StageForecast | undefined,
): StageRun {
  const { route, session, table, service, caller } = request;
  const candidates = deps.endpointTracker.getCandidates(
    table.services.get(service),
    new StreamVersion(deps, request).getEndpoints() ??
      deps.endpointTracker.getUsableEndpoints(service),
  );
  const readerZone = session === undefined
    ? undefined
    : serving.pickSessionZone(candidates, session.id);
  const getShard = planShards(deps, request, readerZone);
  return new StageRun({
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    route,
    services: table.services,
    pieceCounts: caller.pieceCounts,
    pieceKey: caller.pieceKey,
    rank: request.rank,
    customer: request.customer,
    readerZone,
    getShard,
    getLoad: (pieceService) =>
      deps.mesh.leaders.getLoad(pieceService, getShard(pieceService)),
    firstEventMs: stageForecast?.firstEventMs ?? EXPECTED_FIRST_EVENT_MS,
    forecast: stageForecast,
    objectiveMs: route.objectiveMs,
    // Results that are ready after the caller has left are of no use.
    leftMs: Math.min(request.timeoutMs, route.patienceMs ?? Infinity),
    isReturn: isRetryAfterRefusal(request),
    scope: request.scope,
    router: deps.router,
    events: deps.events,
  });
}

/** Refuses a request if all endpoints stay limited or paused while its stages run. */
function checkRateLimit(
  { endpointTracker }: FlowDependencies,
  { service }: RoutedRequest,
  stagesMs: number,
): codes.Failure | undefined {
  const waitMs = endpointTracker.getLimitWaitMs(service);
  if (waitMs <= stagesMs) return undefined;
  return codes.createFailure(
    "QUEUE_FULL",
    `Every endpoint of service "${service}" is paused or at its rate limit`,
    { retryAfterMs: Math.min(waitMs, MAX_RATE_LIMIT_RETRY_AFTER_MS) },
  );
}

function checkAdmission(
  deps: FlowDependencies,
  request: RoutedRequest,
  run: StageRun,
  stageForecast: StageForecast | undefined,
): codes.Failure | undefined {
  const { route } = request;
  const services = getPieceServices(request);
  const loads = getPoolLoads(
    deps,
    services,
    (pieceService) => run.getShard(pieceService),
  );
  const getWaitMs = buildStageWaits(request, loads);
  const stagesMs = run.getExpectedMs();
  const rateLimitFailure = checkRateLimit(deps, request, stagesMs);
  if (rateLimitFailure !== undefined) return rateLimitFailure;
  const waits = route.stages.map((_, stage) => Math.round(getWaitMs(stage)));
  if (stageForecast !== undefined) {
    const decision = decideChainLane(request, { run, stageForecast, loads });
    const { lane, marginMs, expectedMs, failure } = decision;
    writeAdmission(deps, request, {
      decision: lane === "refused" ? "refused" : "admitted",
      lane,
      marginMs: Math.round(marginMs),
      expectedMs: Math.round(expectedMs),
      waits,
    });
    return failure;
  }
  const decision = serving.decideAdmission({
    stagesMs,
    waitMs: run.getExpectedMs(getWaitMs) - stagesMs,
    firstEventMs: route.stages.length > 0 ? EXPECTED_FIRST_EVENT_MS : 0,
    objectiveMs: route.objectiveMs,
    timeoutMs: request.timeoutMs,
    patienceMs: route.patienceMs,
    isReturn: isRetryAfterRefusal(request),
  });
  writeAdmission(deps, request, {
    decision: decision.kind,
    expectedMs: Math.round(decision.expectedMs),
    waits,
  });
  return match(decision)
    .with({ kind: "admitted" }, () => undefined)
    .with(
      { kind: "refused" },
      ({ reason, expectedMs, retryAfterMs }) =>
        codes.createFailure(
          reason === serving.REJECTION_REASON.busy
            ? "QUEUE_FULL"
            : "DEADLINE_OUT_OF_REACH",
          `An answer is expected to take ${Math.round(expectedMs)} ms`,
          { retryAfterMs },
        ),
    )
    .exhaustive();
}

function writeAdmission(
  deps: FlowDependencies,
  request: RoutedRequest,
  fields: {
    readonly decision: "admitted" | "refused";
    readonly lane?: string;
    readonly marginMs?: number;
    readonly expectedMs: number;
    readonly waits: readonly number[];
  },
): void {
  deps.events.write(EVENT.requestAdmitted, {
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    route: request.route.name,
    service: request.service,
    customer: request.customer,
    rank: request.rank,
    leftMs: request.timeoutMs,
    isReturn: isRetryAfterRefusal(request),
    session: request.session?.id,
    pieces: request.caller.pieceCounts,
    streamOrigin: request.caller.streamOrigin,
    lastEventId: request.caller.lastEventId,
    ...fields,
    configuration: request.table.version,
  });
}

function refuse(
  code: codes.CodeName,
  message: string,
  options: codes.FailureOptions = {},
): { failure: codes.Failure } {
  return { failure: codes.createFailure(code, message, options) };
}
