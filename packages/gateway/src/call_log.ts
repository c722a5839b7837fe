/**
 * Log events and metrics of the calls to one pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import type { EndpointId, ServiceId } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import type { PieceAnswer, PieceCallResult } from "./ports.ts";

/** A call that is being sent. */
export interface StartedCall {
  readonly endpointId: EndpointId;
  readonly batchSize: number;
  readonly plan: readonly serving.PlannedPieces[];
  readonly pieces: number;
  /** Groups that are still queued. */
  readonly waiting: number;
  /** Free result space at the endpoint. */
  readonly freeBytes: number;
  /** Result space there that is reserved for later calls. */
  readonly promisedBytes: number;
  /** Groups that are deferred; unset where lanes aren't planned. */
  readonly deferred?: number;
}

/** A call that has ended. */
export interface EndedCall {
  readonly endpointId: EndpointId;
  readonly pieces: number;
  readonly result: PieceCallResult;
  readonly tookMs: number;
  readonly expectedMs: number;
}

/** Pool, log and metrics of a {@link CallLog}. */
export interface CallLogOptions {
  readonly service: ServiceId;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
}

/** Logs and measures the calls to one pool. */
export class CallLog {
  readonly #options: CallLogOptions;

  /** @param options The pool, the event log and the metrics. */
  constructor(options: CallLogOptions) {
    this.#options = options;
  }

  /** Records the start of a call. */
  recordStart(call: StartedCall, now: number): void {
    const { service, events, metrics } = this.#options;
    const { plan, ...fields } = call;
    const fillPercent = 100 * call.pieces / call.batchSize;
    metrics.recordMs("call_fill_percent", { service }, fillPercent);
    if (call.deferred !== undefined) {
      metrics.setGauge("deferred_groups", { service }, call.deferred);
    }
    for (const { queued } of plan) {
      metrics.recordMs("stage_wait_ms", { service }, now - queued.queuedAt);
    }
    events.write(EVENT.callStarted, {
      service,
      ...fields,
      requests: plan.map(({ queued }) => queued.group.requestId),
    });
  }

  /** Records the end of a call. */
  recordEnd(call: EndedCall): void {
    const { service, events, metrics } = this.#options;
    const { endpointId, pieces, result, tookMs, expectedMs } = call;
    metrics.recordMs("call_ms", { service }, tookMs);
    const answers = result.kind === "done" ? countKinds(result.pieces) : {};
    for (const [kind, count] of Object.entries(answers)) {
      metrics.count("pieces_total", { service, result: kind }, count);
    }
    events.write(EVENT.callEnded, {
      service,
      endpointId,
      pieces,
      result: result.kind,
      answers,
      tookMs: Math.round(tookMs),
      expectedMs: Math.round(expectedMs),
      message: result.kind === "broken" ? result.message : undefined,
      status: result.kind === "notRun" ? result.status : undefined,
    });
  }
}

function countKinds(answers: readonly PieceAnswer[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { kind } of answers) counts[kind] = (counts[kind] ?? 0) + 1;
  return counts;
}
