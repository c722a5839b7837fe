/**
 * Final answers, with their log events and metrics.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as serving from "@sardinestep/serving";
import { match } from "ts-pattern";
import type { StreamEnd } from "./attempt.ts";
import { EVENT } from "./events.ts";
import type {
  ArrivedRequest,
  FlowDependencies,
  ForwardResult,
  RoutedRequest,
} from "./flow_types.ts";
import { END_REASON, type EndReason } from "./request_scope.ts";
import type { StageForecast } from "./stage_forecast.ts";
import type { StageRunOutcome } from "./stage_run.ts";
import { TRUNCATION_CAUSE } from "./truncation.ts";

/** Retry delay for callers when no endpoint is available, in milliseconds. */
export const UNAVAILABLE_RETRY_AFTER_MS = 500;
/**
 * Retry delay while this VM is stopping, in milliseconds. The caller opens a new
 * connection to another VM, which serves it at once.
 */
const STOPPING_RETRY_AFTER_MS = 50;

/** Builds the refusal of a request that another VM can serve. */
export function buildStoppingRefusal(): codes.Failure {
  return codes.createFailure(
    "SHUTTING_DOWN",
    "This VM is shutting down; retry on another VM",
    { retryAfterMs: STOPPING_RETRY_AFTER_MS },
  );
}

/** Builds the result of a request whose stages were not completed. */
export function buildStageFailure(
  staged: Exclude<StageRunOutcome, { kind: "made" }>,
  leftMs: number,
): ForwardResult {
  return match(staged)
    .with({ kind: "late" }, ({ stage, waitedMs }) => ({
      kind: "failure" as const,
      failure: codes.createFailure(
        "DEADLINE_OUT_OF_REACH",
        `Stage ${stage} waited ${waitedMs} ms and can't be done in time`,
        { retryAfterMs: serving.planRetryAfter(leftMs) },
      ),
    }))
    .with({ kind: "failed", reason: serving.QUARANTINED }, () => ({
      kind: "failure" as const,
      failure: codes.createFailure(
        "REQUEST_QUARANTINED",
        "Endpoints crashed while running an identical request",
        { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS },
      ),
    }))
    .with({ kind: "failed" }, ({ stage, reason }) => ({
      kind: "failure" as const,
      failure: codes.createFailure(
        "STAGE_UNAVAILABLE",
        `Stage ${stage} failed: ${reason}`,
        { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS },
      ),
    }))
    .with({ kind: "ended" }, () => ({
      kind: "ended" as const,
      mayHaveRun: false,
    }))
    .exhaustive();
}

/** Writes the final answer, or aborts an unfinished stream, and records it. */
export function writeFinalAnswer(
  deps: FlowDependencies,
  request: RoutedRequest,
  result: ForwardResult,
): void {
  const { writer, scope } = request;
  match(result)
    .with({ kind: "answered" }, ({ answer }) => {
      writer.writeComplete(answer);
      const { framing } = answer;
      recordAnswer(deps, request, {
        outcome: String(answer.status),
        framing,
      });
    })
    .with(
      { kind: "streamed" },
      ({ end }) => recordAnswer(deps, request, { outcome: "streamed", ...end }),
    )
    .with({ kind: "brokenOff" }, ({ cause, reason }) => {
      writer.abortWhenWritten(
        { cause, reason },
        request.timeoutMs - scope.ageMs,
      );
      recordAnswer(deps, request, { outcome: "brokenOff", reason });
    })
    .with({ kind: "failure" }, ({ failure }) => {
      writer.writeFailure(failure);
      recordFailure(deps, request, failure);
    })
    .with({ kind: "ended" }, ({ mayHaveRun, end }) => {
      if (scope.endedBy === END_REASON.callerDisconnected) {
        deps.events.write(EVENT.requestCancelled, {
          requestId: request.requestId,
          afterMs: Math.round(scope.ageMs),
        });
        return;
      }
      if (end?.framing !== undefined) {
        const { service } = request;
        deps.metrics.count("answers_ended_at_deadline_total", { service });
      }
      if (writer.hasStarted) {
        const reason = "The deadline has passed";
        writer.abort({ cause: TRUNCATION_CAUSE.deadline });
        return recordAnswer(deps, request, {
          outcome: "brokenOff",
          reason,
          ...end,
        });
      }
      const failure = buildEndedFailure(mayHaveRun, scope.endedBy);
      writer.writeFailure(failure);
      recordFailure(deps, request, failure, end);
    })
    .exhaustive();
}

function buildEndedFailure(
  mayHaveRun: boolean,
  endedBy: EndReason | undefined,
): codes.Failure {
  const message = "The deadline has passed";
  if (mayHaveRun) return codes.createFailure("DEADLINE_EXCEEDED", message);
  if (endedBy === END_REASON.stopping) return buildStoppingRefusal();
  return codes.createFailure("DEADLINE_OUT_OF_REACH", message, {
    retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
  });
}

/** Records the time to the first event of a stream, and learns from it. */
export function recordFirstEvent(
  deps: FlowDependencies,
  request: RoutedRequest,
  stageForecast: StageForecast | undefined,
): void {
  const { route, scope, requestId } = request;
  const firstEventMs = scope.ageMs;
  stageForecast?.recordFirstEvent(firstEventMs);
  deps.metrics.recordMs("first_event_ms", { route: route.name }, firstEventMs);
  deps.events.write(EVENT.streamStarted, {
    requestId,
    firstEventMs: Math.round(firstEventMs),
    objectiveMs: route.objectiveMs,
  });
}

/** What the log says of the end of a request. */
interface RecordedEnd extends Partial<StreamEnd> {
  readonly outcome: string;
  readonly reason?: string;
}

function recordFailure(
  deps: FlowDependencies,
  request: RoutedRequest,
  { code, message }: codes.Failure,
  end: Partial<StreamEnd> = {},
): void {
  recordAnswer(deps, request, { outcome: code, reason: message, ...end });
}

function recordAnswer(
  deps: FlowDependencies,
  request: RoutedRequest,
  end: RecordedEnd,
): void {
  const { route, scope, requestId, timeoutMs } = request;
  const { outcome, ...fields } = end;
  const tookMs = scope.ageMs;
  deps.metrics.count("requests_total", { route: route.name, outcome });
  deps.metrics.recordMs("request_ms", { route: route.name }, tookMs);
  deps.events.write(EVENT.requestAnswered, {
    requestId,
    route: route.name,
    outcome,
    ...fields,
    tookMs: Math.round(tookMs),
    leftMs: Math.round(timeoutMs - tookMs),
    objectiveMs: route.objectiveMs,
  });
}

/** Refuses a request before any work was done for it. */
export function refuseRequest(
  deps: FlowDependencies,
  request: ArrivedRequest,
  failure: codes.Failure,
): void {
  request.writer.writeFailure(failure);
  request.scope.end(END_REASON.done);
  deps.metrics.count("refused_total", { code: failure.code });
  deps.events.write(EVENT.requestRefused, {
    requestId: request.caller.requestId,
    host: request.host,
    path: request.path,
    code: failure.code,
    reason: failure.message,
    retryAfterMs: failure.retryAfterMs,
    configuration: deps.site.table?.version,
  });
}
