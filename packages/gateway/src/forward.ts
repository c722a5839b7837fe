/**
 * Forwards a request to endpoints, with retries, until it has a final result.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as serving from "@sardinestep/serving";
import * as streamVersions from "@sardinestep/stream_versions";
import { match } from "ts-pattern";
import type { CompleteAnswer } from "./answer_writer.ts";
import {
  type AttemptOutcome,
  runAttempt,
  STATUS_FAILURE_MIN,
} from "./attempt.ts";
import { pickRequestEndpoint } from "./endpoint_choice.ts";
import { EventBuffer } from "./event_buffer.ts";
import { EVENT } from "./events.ts";
import {
  buildStoppingRefusal,
  UNAVAILABLE_RETRY_AFTER_MS,
} from "./final_answer.ts";
import type {
  FlowDependencies,
  ForwardResult,
  RoutedRequest,
} from "./flow_types.ts";
import { END_REASON } from "./request_scope.ts";
import {
  buildResumeRefusal,
  getStreamEndpoints,
  recordStreamVersion,
} from "./resumed_stream.ts";
import { TRUNCATION_CAUSE } from "./truncation.ts";
import { buildRequestOutcome } from "./version_evidence.ts";

/** Stage results that the request reads as inputs. */
export interface StagedInputs {
  /** Handles of the results. */
  readonly inputs: readonly string[];
  /** Bytes of the results by the zone that stores them. */
  readonly inputBytes: Readonly<Record<string, number>>;
}

/** The inputs of a request, and callbacks of its forwarding. */
export interface ForwardOptions {
  readonly staged: StagedInputs;
  /** Called when the inputs are no longer needed. */
  readonly handleInputsRead: () => void;
  /** Called when the caller is sent its first event. */
  readonly handleFirstEvent: () => void;
  /** Runs the stages again after results were lost; undefined if that fails. */
  readonly rerunStages: () => Promise<StagedInputs | undefined>;
}

/**
 * Longest idle time of a reused connection for a request that may run only once,
 * in milliseconds. If the endpoint closes an idle connection while the request is
 * in transit, it is unknown whether the request ran.
 */
const ONE_SHOT_IDLE_MS = 300;
/** The same for retryable requests, where such a close costs only a retry. */
const RETRYABLE_IDLE_MS = 3_500;
/** Failed connection attempts after which one request fails. */
const MAX_CONNECT_FAILURES = 4;
/** Refusals, mostly by full endpoints, after which one request fails. */
const MAX_REFUSALS = 3;
/**
 * Time after which an endpoint has read its inputs, in ms. Ten results of 3 MB
 * take 25 ms over its link, and it reads them before the prompt.
 */
const INPUT_READ_TIME_MS = 100;
/** How often the stages of one request run again after results were lost. */
const MAX_RERUNS = 1;
/**
 * Time without data after which a retryable request is sent to another endpoint, as
 * a multiple of its latency objective. Any later answer would miss the objective.
 */
const INACTIVITY_OBJECTIVE_FACTOR = 2;
/**
 * Time without data after which a resumable stream moves to another endpoint, in
 * milliseconds. Callers disconnect after 2 s; healthy endpoints pause for less than
 * 500 ms.
 */
const STREAM_INACTIVITY_TIMEOUT_MS = 1_200;
/** Lowest priority that an endpoint knows. */
const MAX_ENDPOINT_PRIORITY = 9;
/** Status of an endpoint that could not fetch its inputs. */
const STATUS_INPUTS_MISSING = 409;

/** Sends a request to endpoints in turn until one answers or retries run out. */
export async function sendRequest(
  deps: FlowDependencies,
  request: RoutedRequest,
  options: ForwardOptions,
): Promise<ForwardResult> {
  return await new RequestForwarder(deps, request, options).run();
}

class RequestForwarder {
  readonly #deps: FlowDependencies;
  readonly #request: RoutedRequest;
  readonly #options: ForwardOptions;
  readonly #triedIds = new Set<string>();
  readonly #eventBuffer: EventBuffer | undefined;
  #staged: StagedInputs;
  /** Attempts in which the request may have run. */
  #attempts = 0;
  #connectFailures = 0;
  #refusals = 0;
  #reruns = 0;
  #mayHaveRun = false;
  #lastFailure: CompleteAnswer | undefined;
  #inputReleaseTimer: NodeJS.Timeout | undefined;
  /** Whether an event was passed on. */
  #hasBegun = false;
  /** Version that began the stream; it may go on at no other one. */
  #streamVersion: streamVersions.VersionTag | undefined;

  constructor(
    deps: FlowDependencies,
    request: RoutedRequest,
    options: ForwardOptions,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#options = options;
    this.#staged = options.staged;
    this.#streamVersion = request.streamVersion;
    const isStream = request.route.kind === serving.ROUTE_KIND.stream;
    const isResumable = isStream && request.route.isResumable;
    this.#eventBuffer = isResumable ? new EventBuffer() : undefined;
  }

  async run(): Promise<ForwardResult> {
    while (true) {
      if (this.#request.scope.endedBy !== undefined) return this.#buildEnded();
      // The request may have been quarantined while its stages ran.
      const refusal = this.#deps.quarantine.check(this.#request);
      if (refusal !== undefined) return this.#giveUp(refusal.message, refusal);
      const endpoint = this.#pickEndpoint();
      if (endpoint === undefined) return this.#giveUpWithoutEndpoint();
      const outcome = await this.#send(endpoint);
      clearTimeout(this.#inputReleaseTimer);
      const result = await this.#handleOutcome(endpoint, outcome);
      if (result !== undefined) return result;
    }
  }

  /** Whether the request may be sent again although it may have run. */
  get #isRetryable(): boolean {
    const { kind, isResumable } = this.#request.route;
    return match(kind)
      .with(serving.ROUTE_KIND.idempotent, () => true)
      .with(serving.ROUTE_KIND.atMostOnce, () => false)
      .with(serving.ROUTE_KIND.stream, () => isResumable)
      .exhaustive();
  }

  #pickEndpoint(): serving.ServingEndpoint | undefined {
    const { service, session, requestId } = this.#request;
    const { rollouts, endpointTracker } = this.#deps;
    const resumable = this.#getStreamEndpoints();
    if (resumable !== undefined) return this.#pickEndpointOf(resumable);
    const sides = this.#triedIds.size === 0
      ? rollouts.planSides(service, session?.id ?? requestId)
      : rollouts.planRetrySides(service);
    for (const side of sides) {
      const endpoint = this.#pickEndpointOf(
        endpointTracker.getUsableEndpoints(service, side),
      );
      if (endpoint !== undefined) return endpoint;
    }
    return undefined;
  }

  /** Endpoints of the version that began the stream, once it has begun. */
  #getStreamEndpoints(): readonly serving.ServingEndpoint[] | undefined {
    const { service } = this.#request;
    const streamVersion = this.#streamVersion;
    return getStreamEndpoints(this.#deps, { service, streamVersion });
  }

  #pickEndpointOf(
    endpoints: readonly serving.ServingEndpoint[],
  ): serving.ServingEndpoint | undefined {
    return pickRequestEndpoint(this.#deps, this.#request, {
      endpoints,
      inputBytes: this.#staged.inputBytes,
      tried: this.#triedIds,
    });
  }

  /** Runs one attempt and records its outcome for roll-outs and quarantine. */
  async #send(endpoint: serving.ServingEndpoint): Promise<AttemptOutcome> {
    const { rollouts } = this.#deps;
    const { route } = this.#request;
    const startedAt = performance.now();
    const slowdown = this.#recordSlowdown(endpoint, startedAt);
    let firstEventMs: number | undefined;
    rollouts.recordSent(endpoint, route.name);
    const outcome = await this.#runAttempt(endpoint, () => {
      firstEventMs ??= performance.now() - startedAt;
    });
    const tookMs = performance.now() - startedAt;
    if (firstEventMs !== undefined && slowdown !== undefined) {
      const { speeds } = this.#deps.endpointTracker;
      speeds.recordFirstEvent(endpoint, firstEventMs, slowdown);
    }
    const end = buildRequestOutcome(outcome, {
      firstEventMs,
      tookMs,
      objectiveMs: route.objectiveMs,
    });
    rollouts.recordEnd(endpoint, route.name, end);
    this.#deps.quarantine.recordOutcome(endpoint, outcome, {
      requestId: this.#request.requestId,
      fingerprint: this.#request.fingerprint,
      parts: this.#request.caller.prompt.slice(0, -1).map(({ id }) => id),
      partKeys: this.#request.partKeys,
      ageMs: tookMs,
    });
    return outcome;
  }

  #runAttempt(
    endpoint: serving.ServingEndpoint,
    handleFirstEvent: () => void,
  ): Promise<AttemptOutcome> {
    const request = this.#request;
    const { scope, route } = request;
    const leftMs = Math.max(1, Math.floor(request.timeoutMs - scope.ageMs));
    this.#triedIds.add(endpoint.id);
    this.#deps.events.write(EVENT.requestSent, {
      requestId: request.requestId,
      endpointId: endpoint.id,
      zone: endpoint.zone,
      leftMs,
      inputs: this.#staged.inputs.length,
      send: this.#attempts + 1,
      lastEventId: this.#eventBuffer?.lastEventId,
      version: endpoint.version,
      ...this.#buildSpeedFields(endpoint),
    });
    return runAttempt({
      request,
      endpoint,
      wire: this.#deps.wire,
      pool: this.#deps.pool,
      endpointTracker: this.#deps.endpointTracker,
      scope,
      writer: request.writer,
      customer: request.customer,
      priority: this.#deps.isContended()
        ? Math.min(MAX_ENDPOINT_PRIORITY, request.rank)
        : undefined,
      inputs: this.#staged.inputs,
      leftMs,
      maxIdleMs: this.#isRetryable ? RETRYABLE_IDLE_MS : ONE_SHOT_IDLE_MS,
      senders: this.#deps.mesh.countMembers(),
      inactivityTimeoutMs: this.#getInactivityTimeoutMs(),
      isStream: route.kind === serving.ROUTE_KIND.stream,
      eventBuffer: this.#eventBuffer,
      handleSent: () => this.#scheduleInputRelease(),
      handleAnswerStart: () => this.#deps.quarantine.recordAnswer(endpoint),
      handleFirstEvent: () => {
        handleFirstEvent();
        this.#recordStreamVersion(endpoint);
        this.#options.handleInputsRead();
        this.#options.handleFirstEvent();
      },
    });
  }

  #recordStreamVersion(endpoint: serving.ServingEndpoint): void {
    if (this.#eventBuffer === undefined || this.#hasBegun) return;
    this.#hasBegun = true;
    this.#streamVersion = streamVersions.buildVersionTag(endpoint);
    recordStreamVersion(this.#deps, this.#request, this.#streamVersion);
  }

  /** Records the slowdown to expect; undefined where speeds don't count. */
  #recordSlowdown(
    { id, service }: serving.ServingEndpoint,
    now: number,
  ): number | undefined {
    if (!this.#deps.isContended()) return undefined;
    const slowdown = this.#deps.endpointTracker.speeds.getSlowdown(id, now);
    this.#deps.metrics.recordMs(
      "sent_slowdown_percent",
      { service },
      100 * slowdown,
    );
    return slowdown;
  }

  /** Builds the log fields of what is known of an endpoint's speed. */
  #buildSpeedFields(endpoint: serving.ServingEndpoint) {
    if (!this.#deps.isContended()) return {};
    const { speeds } = this.#deps.endpointTracker;
    return speeds.buildLogFields(endpoint.id, performance.now());
  }

  /**
   * Releases the inputs of a non-retryable request soon after it was sent.
   *
   * Otherwise large results would occupy storage that other results need until the
   * first event arrives, or for as long as an unresponsive endpoint stays silent. An
   * endpoint that could not read its inputs reports that the request did not run.
   */
  #scheduleInputRelease(): void {
    if (this.#isRetryable || this.#staged.inputs.length === 0) return;
    this.#inputReleaseTimer = setTimeout(
      () => this.#options.handleInputsRead(),
      INPUT_READ_TIME_MS,
    );
  }

  /** Undefined where no further attempt is allowed after a timeout. */
  #getInactivityTimeoutMs(): number | undefined {
    const { route } = this.#request;
    if (!this.#isRetryable || this.#attempts + 1 >= route.maxAttempts) {
      return undefined;
    }
    const bound = route.objectiveMs * INACTIVITY_OBJECTIVE_FACTOR;
    const isStream = route.kind === serving.ROUTE_KIND.stream;
    return isStream ? Math.min(bound, STREAM_INACTIVITY_TIMEOUT_MS) : bound;
  }

  async #handleOutcome(
    endpoint: serving.ServingEndpoint,
    outcome: AttemptOutcome,
  ): Promise<ForwardResult | undefined> {
    return await match(outcome)
      .with({ kind: "streamed" }, () => ({ kind: "streamed" as const }))
      .with({ kind: "ended" }, () => {
        this.#mayHaveRun = true;
        return this.#buildEnded();
      })
      .with({ kind: "answered" }, ({ answer }) => this.#handleAnswer(answer))
      .with(
        { kind: "notRun" },
        ({ status }) => this.#handleNotRun(endpoint, status),
      )
      .with({ kind: "notSent" }, ({ message }) => this.#handleNotSent(message))
      .with(
        { kind: "lost" },
        (loss) => this.#handleLost(endpoint, loss),
      )
      .exhaustive();
  }

  #handleAnswer(answer: CompleteAnswer): ForwardResult | undefined {
    this.#mayHaveRun = true;
    this.#attempts += 1;
    const isFailure = answer.status >= STATUS_FAILURE_MIN;
    if (this.#request.writer.hasStarted) {
      return {
        kind: "brokenOff",
        cause: TRUNCATION_CAUSE.resumeFailed,
        reason: `Resuming the stream failed with status ${answer.status}`,
      };
    }
    if (!isFailure) return { kind: "answered", answer };
    this.#lastFailure = answer;
    if (this.#tryRetry(`status ${answer.status}`)) return undefined;
    return { kind: "answered", answer };
  }

  async #handleNotRun(
    endpoint: serving.ServingEndpoint,
    status: number,
  ): Promise<ForwardResult | undefined> {
    this.#refusals += 1;
    if (status === STATUS_INPUTS_MISSING && this.#staged.inputs.length > 0) {
      return await this.#rerunStages();
    }
    this.#triedIds.add(endpoint.id);
    if (
      this.#refusals >= MAX_REFUSALS || !this.#takeRetry(`status ${status}`)
    ) {
      return this.#giveUp(
        `Endpoints refused the request with status ${status}`,
      );
    }
    return undefined;
  }

  async #rerunStages(): Promise<ForwardResult | undefined> {
    this.#reruns += 1;
    if (this.#reruns > MAX_RERUNS) return this.#giveUp("Results lost again");
    const staged = await this.#options.rerunStages();
    if (staged === undefined) return this.#giveUp("Rerun of stages failed");
    this.#staged = staged;
    this.#triedIds.clear();
    return this.#takeRetry("stage results were lost")
      ? undefined
      : this.#giveUp("Results were lost and no retry is left");
  }

  #handleNotSent(message: string): ForwardResult | undefined {
    this.#connectFailures += 1;
    return this.#connectFailures < MAX_CONNECT_FAILURES
      ? undefined
      : this.#giveUp(message);
  }

  #handleLost(
    endpoint: serving.ServingEndpoint,
    { message, isSilent }: Extract<AttemptOutcome, { kind: "lost" }>,
  ): ForwardResult | undefined {
    this.#mayHaveRun = true;
    this.#attempts += 1;
    this.#eventBuffer?.dropPartial();
    // Another crash would be no further evidence.
    const isSuspect = this.#deps.quarantine.hasSuspectPart(this.#request);
    if (!isSuspect && this.#tryRetry(message)) {
      if (this.#request.writer.hasStarted) {
        this.#recordResume(endpoint, message);
      }
      return undefined;
    }
    if (this.#request.writer.hasStarted) {
      const { endpointSilent, endpointFailed } = TRUNCATION_CAUSE;
      const cause = isSilent ? endpointSilent : endpointFailed;
      return { kind: "brokenOff", cause, reason: message };
    }
    return this.#giveUp(message);
  }

  #recordResume({ version }: serving.ServingEndpoint, message: string): void {
    this.#deps.events.write(EVENT.streamResumed, {
      requestId: this.#request.requestId,
      lastEventId: this.#eventBuffer?.lastEventId,
      version,
      reason: message,
    });
  }

  /** Takes a retry for a request that may have run, if it allows another one. */
  #tryRetry(reason: string): boolean {
    const { route } = this.#request;
    if (!this.#isRetryable || this.#attempts >= route.maxAttempts) return false;
    return this.#takeRetry(reason);
  }

  /** Takes one retry from the service's budget, if it has one left. */
  #takeRetry(reason: string): boolean {
    const { service, requestId } = this.#request;
    const { retryBudget, mesh, events } = this.#deps;
    const now = performance.now();
    const isAllowed = retryBudget.mayRetry(service, now, mesh.countMembers());
    if (isAllowed) retryBudget.recordRetry(service, now);
    events.write(EVENT.requestRepeated, {
      requestId,
      service,
      reason,
      isAllowed,
      sends: this.#attempts,
    });
    return isAllowed;
  }

  #giveUpWithoutEndpoint(): ForwardResult {
    const isGone = this.#getStreamEndpoints()?.length === 0;
    const refusal = isGone
      ? buildResumeRefusal(streamVersions.RESUME_REFUSAL.gone)
      : undefined;
    return this.#giveUp(refusal?.message ?? "No usable endpoint", refusal);
  }

  #buildEnded(): ForwardResult {
    if (this.#request.scope.endedBy === END_REASON.stopping) {
      const message = "This VM stopped before the request was done";
      return this.#giveUp(message, buildStoppingRefusal());
    }
    return { kind: "ended", mayHaveRun: this.#mayHaveRun };
  }

  /** Builds the final result when no further endpoint is tried. */
  #giveUp(message: string, refusal?: codes.Failure): ForwardResult {
    if (this.#request.writer.hasStarted) {
      const cause = this.#request.scope.endedBy === END_REASON.stopping
        ? TRUNCATION_CAUSE.exit
        : TRUNCATION_CAUSE.resumeFailed;
      return { kind: "brokenOff", cause, reason: message };
    }
    if (this.#lastFailure !== undefined) {
      return { kind: "answered", answer: this.#lastFailure };
    }
    const failure = this.#mayHaveRun
      ? codes.createFailure(
        this.#isRetryable ? "STAGE_FAILED" : "OUTCOME_UNKNOWN",
        message,
      )
      : refusal ?? codes.createFailure("STAGE_UNAVAILABLE", message, {
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
      });
    return { kind: "failure", failure };
  }
}
