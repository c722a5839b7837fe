/**
 * Runs a request through the filter chain and returns its final answer.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as timeline from "@sardinestep/timeline";
import {
  applyUnknownKeyOutcome,
  createRefusal,
  type RequestAnswer,
} from "./answer.ts";
import {
  type CallerConnection,
  type Filter,
  type IncomingRequest,
  type PartSink,
  type RequestContext,
  runFilters,
} from "./context.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { SiteState } from "./site_state.ts";

/** An entry without configuration receives one within one or two gossip intervals. */
const NO_CONFIGURATION_RETRY_MS = 1_000;
const INTERNAL_RETRY_MS = 1_000;

/** Dependencies of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly filters: readonly Filter[];
  readonly getSite: () => SiteState | undefined;
  readonly readNow: () => number;
  readonly metrics: EntryMetrics;
  readonly logger: logger.Logger;
  readonly timeline: timeline.Timeline;
}

/** Runs requests through the filters; records their answers in metrics and timeline. */
export class RequestService {
  readonly #options: RequestServiceOptions;
  /** Answers each running request when the entry exits. */
  readonly #exitHandlers = new Set<() => void>();

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /** Number of requests without a final answer. */
  get running(): number {
    return this.#exitHandlers.size;
  }

  /** Answers running requests as unknown, since the entry exits before they end. */
  cancelRequests(): void {
    for (const handleExit of [...this.#exitHandlers]) handleExit();
  }

  /** Runs one request and returns its final answer. */
  async serve(
    incoming: IncomingRequest,
    callerConnection: CallerConnection,
    sink?: PartSink,
  ): Promise<RequestAnswer> {
    const site = this.#options.getSite();
    if (!site) return refuseWithoutConfiguration(incoming);
    const context = createContext(incoming, site, { callerConnection, sink });
    const { requestId, key, pipeline } = incoming;
    this.#options.timeline.record("request_arrived", {
      requestId,
      ...(key !== undefined && { key }),
    }, { pipeline });
    try {
      const answer = applyKeyOutcome(
        context,
        await this.#runUntilExit(context),
      );
      this.#recordAnswer(context, answer);
      return answer;
    } catch (error) {
      return this.#refuseInternalError(incoming, error);
    }
  }

  /** Runs the filters; the exit of the entry answers first if they take longer. */
  #runUntilExit(context: RequestContext): Promise<RequestAnswer> {
    return new Promise((resolve, reject) => {
      const handleExit = () => resolve(buildExitAnswer(context));
      this.#exitHandlers.add(handleExit);
      runFilters(this.#options.filters, context)
        .finally(() => this.#exitHandlers.delete(handleExit))
        .then(resolve, reject);
    });
  }

  /** Answers INTERNAL, so that an error in one request doesn't crash the process. */
  #refuseInternalError(
    incoming: IncomingRequest,
    error: unknown,
  ): RequestAnswer {
    const cause = error instanceof Error ? error.stack ?? error.message : error;
    const { requestId } = incoming;
    const message = `Cannot serve request "${requestId}"`;
    this.#options.logger.error("internal", message, { cause: String(cause) });
    this.#options.metrics.countRefusalCode("INTERNAL");
    return createRefusal("INTERNAL", message, {
      retryAfterMs: INTERNAL_RETRY_MS,
    });
  }

  #recordAnswer(context: RequestContext, answer: RequestAnswer): void {
    const { metrics, timeline, readNow } = this.#options;
    metrics.recordAnswer(context, answer, readNow());
    const { requestId, pipeline } = context.incoming;
    const name = answer.kind === "completed"
      ? "request_completed"
      : "request_refused";
    timeline.record(name, {
      requestId,
      customer: context.customer,
      ...(context.keyId && { key: context.keyId.key }),
    }, buildEventDetail(pipeline, answer));
  }
}

/** Builds the answer to a request that is unfinished when the entry exits. */
function buildExitAnswer(context: RequestContext): RequestAnswer {
  const message = "Entry stopped before the request was done";
  return context.isAtMostOnce
    ? createRefusal("OUTCOME_UNKNOWN", message)
    : createRefusal("STAGE_FAILED", message, { retryAfterMs: 0 });
}

function applyKeyOutcome(
  context: RequestContext,
  answer: RequestAnswer,
): RequestAnswer {
  const isUnsettled = context.incoming.key !== undefined &&
    !context.isKeySettled;
  return isUnsettled ? applyUnknownKeyOutcome(answer) : answer;
}

function buildEventDetail(
  pipeline: string,
  answer: RequestAnswer,
): timeline.TimelineEvent["detail"] {
  if (answer.kind === "completed") {
    return { pipeline, replayed: answer.isReplayed };
  }
  const { code, outcome } = answer.failure;
  return { pipeline, code, outcome };
}

function createContext(
  incoming: IncomingRequest,
  site: SiteState,
  options: Pick<RequestContext, "callerConnection" | "sink">,
): RequestContext {
  // Filters set these fields before any other code reads them.
  const unset = {} as Pick<RequestContext, "pipeline" | "body">;
  return {
    ...unset,
    incoming,
    site,
    ...options,
    customer: "",
    deadlineAt: incoming.arrivedAt,
    fingerprint: "",
    isAtMostOnce: false,
    isKeySettled: false,
    priorResults: [],
  };
}

function refuseWithoutConfiguration(incoming: IncomingRequest): RequestAnswer {
  const message = "Entry has no configuration yet";
  const options = { retryAfterMs: NO_CONFIGURATION_RETRY_MS };
  const refusal = createRefusal("NO_CONFIGURATION", message, options);
  return incoming.key === undefined ? refusal : applyUnknownKeyOutcome(refusal);
}
