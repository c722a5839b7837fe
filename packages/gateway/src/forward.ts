/**
 * Forwards a request to endpoints, with retries, until it has a final result.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as serving from "@sardinestep/serving";
import * as streamVersions from "@sardinestep/stream_versions";
import * as takeover from "@sardinestep/takeover";
import { match } from "ts-pattern";
import type { CompleteAnswer } from "./answer_writer.ts";
import {
  type AttemptOutcome,
  type RunningAttempt,
  startAttempt,
  STATUS_FAILURE_MIN,
} from "./attempt.ts";
import { AttemptRecord } from "./attempt_record.ts";
import {
  type DroppedAttempt,
  type RaceOutcome,
  type RaceStart,
  runRace,
  type SilentSpan,
  type TakenOver,
  type TakeoverPlan,
} from "./attempt_race.ts";
import { pickAttemptEndpoint } from "./endpoint_choice.ts";
import { EventBuffer } from "./event_buffer.ts";
import { EVENT } from "./events.ts";
import type { SendConnection } from "./http_pool.ts";
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
import { buildResumeRefusal } from "./resumed_stream.ts";
import { type StreamOrigin, StreamVersion } from "./stream_version.ts";
import { planTakeover } from "./takeover_plan.ts";
import { TRUNCATION_CAUSE } from "./truncation.ts";

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
 * Time without data after which another endpoint may take over a retryable request,
 * as a multiple of its latency objective. Any later answer would miss the objective.
 */
const INACTIVITY_OBJECTIVE_FACTOR = 2;
/**
 * Time without an event after which another endpoint may take over a resumable
 * stream, in milliseconds. Callers disconnect after 2 s or later; healthy endpoints
 * pause for less than 500 ms.
 */
const STREAM_INACTIVITY_TIMEOUT_MS = 1_200;
/** Lowest priority that an endpoint knows. */
const MAX_ENDPOINT_PRIORITY = 9;
/** Status of an endpoint that could not fetch its inputs. */
const STATUS_INPUTS_MISSING = 409;

/** Statuses that promise callers that a request did not run and never will. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

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
  /** Endpoints at which the request may have run. */
  readonly #ranIds = new Set<string>();
  /** Position in a resumable stream. */
  #eventBuffer: EventBuffer | undefined;
  /** The same of a takeover. */
  #takeoverBuffer: EventBuffer | undefined;
  #staged: StagedInputs;
  /** Whether the stage results are kept that the request reads. */
  #areInputsKept = true;
  /** Stage results with which each endpoint was last asked. */
  readonly #sentInputs = new Map<string, StagedInputs>();
  readonly #usedConnections = new WeakSet<SendConnection>();
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
  readonly #streamVersion: StreamVersion;

  constructor(
    deps: FlowDependencies,
    request: RoutedRequest,
    options: ForwardOptions,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#options = options;
    this.#staged = options.staged;
    this.#streamVersion = new StreamVersion(deps, request);
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
      const first = this.#pickEndpoint(this.#triedIds);
      if (first === undefined) {
        if (await this.#waitForCapacity()) continue;
        return this.#giveUpWithoutEndpoint();
      }
      const { endpoint, outcome } = await this.#runRace(first);
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

  #pickEndpoint(
    tried: ReadonlySet<string>,
  ): serving.ServingEndpoint | undefined {
    return pickAttemptEndpoint(this.#deps, this.#request, {
      endpoints: this.#streamVersion.getEndpoints(),
      inputBytes: this.#staged.inputBytes,
      tried,
    });
  }

  #runRace(endpoint: serving.ServingEndpoint) {
    const isStream = this.#request.route.kind === serving.ROUTE_KIND.stream;
    return runRace({
      start: (options) => this.#start(options),
      planTakeover: (span) => this.#planTakeover(span),
      recordDropped: (attempt) => this.#recordDropped(attempt),
      handleTakenOver: (taken) => this.#handleTakenOver(taken),
      isFinal: (outcome) => this.#isFinal(outcome),
      isInputsMissing: (outcome) => this.#isInputsMissing(outcome),
      rerunStages: async () => await this.#rerunStages() === undefined,
      maxOverlapMs: isStream ? takeover.MAX_OVERLAP_MS : undefined,
    }, endpoint);
  }

  /** Starts an attempt, whose outcome is recorded for roll-outs and quarantine. */
  #start(options: RaceStart): RunningAttempt {
    const record = new AttemptRecord(
      this.#deps,
      this.#request,
      options.endpoint,
    );
    const attempt = this.#startAttempt(options, record);
    const outcome = attempt.outcome.then((ended) => {
      record.recordEnd(ended);
      this.#recordNotRun(options.endpoint, ended);
      return ended;
    });
    return { ...attempt, outcome };
  }

  /** Logs what shows that an attempt did not run the request. */
  #recordNotRun({ id }: serving.ServingEndpoint, ended: AttemptOutcome): void {
    if (ended.kind !== "notRun" && ended.kind !== "notSent") return;
    this.#deps.events.write(EVENT.requestNotRun, {
      requestId: this.#request.requestId,
      endpointId: id,
      ...match(ended)
        .with({ kind: "notRun" }, ({ status, proof }) => ({ status, ...proof }))
        .with({ kind: "notSent" }, ({ message }) => ({ reason: message }))
        .exhaustive(),
    });
  }

  #startAttempt(
    { endpoint, isTakeover, listener }: RaceStart,
    record: AttemptRecord,
  ): RunningAttempt {
    const request = this.#request;
    const { scope, route } = request;
    const leftMs = Math.max(1, Math.floor(request.timeoutMs - scope.ageMs));
    const eventBuffer = this.#openEventBuffer(isTakeover);
    if (!isTakeover) this.#triedIds.add(endpoint.id);
    this.#sentInputs.set(endpoint.id, this.#staged);
    this.#deps.events.write(EVENT.requestSent, {
      requestId: request.requestId,
      endpointId: endpoint.id,
      zone: endpoint.zone,
      leftMs,
      inputs: this.#staged.inputs.length,
      send: this.#attempts + (isTakeover ? 2 : 1),
      lastEventId: eventBuffer?.lastEventId,
      version: endpoint.version,
      ...record.buildSpeedFields(),
    });
    return startAttempt({
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
      usedConnections: this.#usedConnections,
      senders: this.#deps.mesh.countSenders(),
      inactivityTimeoutMs: this.#getInactivityTimeoutMs(),
      isStream: route.kind === serving.ROUTE_KIND.stream,
      isResume: this.#streamVersion.isKnown,
      eventBuffer,
      ...listener,
      handleSent: () => {
        listener.handleSent();
        this.#scheduleInputRelease();
      },
      handleAnswerStart: () => this.#deps.quarantine.recordAnswer(endpoint),
      handleFirstEvent: (openedAt) => {
        record.recordFirstEvent();
        this.#releaseInputs();
        this.#recordFirstEvent({ endpoint, openedAt });
      },
    });
  }

  /** Returns the position at which an attempt takes up a resumable stream. */
  #openEventBuffer(isTakeover: boolean): EventBuffer | undefined {
    if (!isTakeover || this.#eventBuffer === undefined) {
      return this.#eventBuffer;
    }
    this.#takeoverBuffer = new EventBuffer(this.#eventBuffer);
    return this.#takeoverBuffer;
  }

  #releaseInputs(): void {
    this.#options.handleInputsRead();
    if (this.#staged.inputs.length > 0) this.#areInputsKept = false;
  }

  #recordFirstEvent(origin: StreamOrigin): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#options.handleFirstEvent();
    if (this.#eventBuffer !== undefined) this.#streamVersion.begin(origin);
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

  /** Undefined where no other endpoint may take over. */
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
    outcome: RaceOutcome,
  ): Promise<ForwardResult | undefined> {
    return await match(outcome)
      .with({ kind: "streamed" }, (streamed) => streamed)
      .with({ kind: "ended" }, () => {
        this.#mayHaveRun = true;
        return this.#buildEnded();
      })
      .with(
        { kind: "answered" },
        ({ answer }) => this.#handleAnswer(endpoint, answer),
      )
      .with(
        { kind: "notRun" },
        (refusal) => this.#handleNotRun(endpoint, refusal),
      )
      .with({ kind: "notSent" }, ({ message }) => this.#handleNotSent(message))
      .with(
        { kind: "lost" },
        (loss) => this.#handleLost(endpoint, loss),
      )
      .exhaustive();
  }

  #handleAnswer(
    endpoint: serving.ServingEndpoint,
    answer: CompleteAnswer,
  ): ForwardResult | undefined {
    this.#recordRun(endpoint);
    const isFailure = answer.status >= STATUS_FAILURE_MIN;
    if (this.#request.writer.hasStarted) {
      return {
        kind: "brokenOff",
        cause: TRUNCATION_CAUSE.resumeFailed,
        reason: `Resuming the stream failed with status ${answer.status}`,
      };
    }
    if (!this.#isRetryable && REFUSAL_STATUSES.has(answer.status)) {
      return this.#giveUp(`Endpoint failed with status ${answer.status}`);
    }
    if (!isFailure) return { kind: "answered", answer };
    this.#lastFailure = answer;
    if (this.#tryRetry(`status ${answer.status}`)) return undefined;
    return { kind: "answered", answer };
  }

  async #handleNotRun(
    endpoint: serving.ServingEndpoint,
    refusal: Extract<AttemptOutcome, { kind: "notRun" }>,
  ): Promise<ForwardResult | undefined> {
    const { status } = refusal;
    this.#refusals += 1;
    if (this.#isInputsMissing(refusal)) {
      return await this.#retryWithNewInputs(endpoint);
    }
    this.#triedIds.add(endpoint.id);
    const isLast = this.#refusals >= MAX_REFUSALS ||
      !this.#takeRetry(`status ${status}`);
    if (!isLast || await this.#waitForCapacity()) return undefined;
    return this.#giveUp(`Endpoints refused the request with status ${status}`);
  }

  /**
   * Waits until endpoints that refused a stream may be asked again.
   *
   * @returns False if the request is given up.
   */
  async #waitForCapacity(): Promise<boolean> {
    const { scope, writer, route } = this.#request;
    while (scope.endedBy === undefined) {
      const decision = takeover.decideRefused({
        hasStarted: writer.hasStarted,
        isResumable: this.#eventBuffer !== undefined,
        attempts: this.#attempts,
        maxAttempts: route.maxAttempts,
        hasEndpoint: this.#pickEndpoint(this.#ranIds) !== undefined,
      });
      if (decision.kind === "giveUp") return false;
      await scope.wait(decision.pauseMs);
      if (scope.endedBy === undefined && this.#takeRetry("Stream refused")) {
        break;
      }
    }
    this.#refusals = 0;
    this.#triedIds.clear();
    for (const id of this.#ranIds) this.#triedIds.add(id);
    return true;
  }

  /** Sends the request again, with results that are made anew unless they were. */
  async #retryWithNewInputs(
    { id }: serving.ServingEndpoint,
  ): Promise<ForwardResult | undefined> {
    const isRemade = this.#sentInputs.get(id) !== this.#staged;
    const failure = isRemade ? undefined : await this.#rerunStages();
    if (failure !== undefined) return this.#giveUp(failure);
    this.#triedIds.clear();
    return this.#takeRetry("stage results were lost")
      ? undefined
      : this.#giveUp("Results were lost and no retry is left");
  }

  /** Runs the stages again; returns why that failed, if it did. */
  async #rerunStages(): Promise<string | undefined> {
    this.#reruns += 1;
    if (this.#reruns > MAX_RERUNS) return "Results lost again";
    const staged = await this.#options.rerunStages();
    if (staged === undefined) return "Rerun of stages failed";
    this.#staged = staged;
    this.#areInputsKept = true;
    return undefined;
  }

  #handleNotSent(message: string): ForwardResult | undefined {
    this.#connectFailures += 1;
    return this.#connectFailures < MAX_CONNECT_FAILURES
      ? undefined
      : this.#giveUp(message);
  }

  async #handleLost(
    endpoint: serving.ServingEndpoint,
    { message }: Extract<AttemptOutcome, { kind: "lost" }>,
  ): Promise<ForwardResult | undefined> {
    this.#recordRun(endpoint);
    this.#eventBuffer?.dropPartial();
    if (!await this.#streamVersion.confirm()) {
      const cause = TRUNCATION_CAUSE.resumeFailed;
      const reason = "The version that began the stream is not known";
      return { kind: "brokenOff", cause, reason };
    }
    // Another crash would be no further evidence.
    const isSuspect = this.#deps.quarantine.hasSuspectPart(this.#request);
    if (!isSuspect && this.#tryRetry(message)) {
      if (this.#request.writer.hasStarted) {
        this.#recordResume(endpoint, message);
      }
      return undefined;
    }
    if (this.#request.writer.hasStarted) {
      const cause = TRUNCATION_CAUSE.endpointFailed;
      return { kind: "brokenOff", cause, reason: message };
    }
    return this.#giveUp(message);
  }

  /** Records that the request may have run at an endpoint. */
  #recordRun({ id }: serving.ServingEndpoint): void {
    this.#mayHaveRun = true;
    this.#attempts += 1;
    this.#ranIds.add(id);
  }

  #isFinal(outcome: RaceOutcome): boolean {
    return match(outcome)
      .with({ kind: "streamed" }, { kind: "ended" }, () => true)
      .with(
        { kind: "answered" },
        ({ answer }) =>
          answer.status < STATUS_FAILURE_MIN &&
          !this.#request.writer.hasStarted,
      )
      .with(
        { kind: "notRun" },
        { kind: "notSent" },
        { kind: "lost" },
        () => false,
      )
      .exhaustive();
  }

  #isInputsMissing(outcome: AttemptOutcome): boolean {
    return outcome.kind === "notRun" &&
      outcome.status === STATUS_INPUTS_MISSING &&
      this.#staged.inputs.length > 0;
  }

  /** Decides what is done about a silent endpoint; takes a retry for a takeover. */
  #planTakeover(span: SilentSpan): TakeoverPlan {
    // The next span of silence may know the version.
    void this.#streamVersion.confirm();
    const endpoint = this.#pickEndpoint(
      new Set([span.endpoint.id, ...span.triedIds, ...this.#ranIds]),
    );
    const attempts = this.#attempts + 1;
    const decision = planTakeover(this.#deps, this.#request, {
      span,
      attempts,
      isRetryable: this.#isRetryable,
      hasEndpoint: endpoint !== undefined,
      areInputsKept: this.#areInputsKept,
      mayRerunStages: this.#reruns < MAX_RERUNS,
    });
    return match(decision)
      .with({ kind: "takeOver" }, () => {
        const isTaken = this.#takeRetry("Endpoint is silent", attempts);
        return isTaken && endpoint !== undefined
          ? { kind: "takeOver" as const, endpoint }
          : { kind: "wait" as const };
      })
      .with({ kind: "rerunStages" }, { kind: "wait" }, (plan) => plan)
      .exhaustive();
  }

  /** Records an attempt that ended while another one goes on. */
  #recordDropped(
    { endpoint, outcome, wasSent, hasBegun }: DroppedAttempt,
  ): void {
    const wasSentLatest = this.#sentInputs.get(endpoint.id) === this.#staged;
    if (wasSentLatest && this.#isInputsMissing(outcome)) {
      this.#areInputsKept = false;
    }
    const isRefused = outcome.kind === "notRun" || outcome.kind === "notSent";
    if (!wasSent || isRefused) return;
    // An endpoint that waits for capacity has not begun to work on a stream.
    const isUnused = outcome.kind === "superseded" && !hasBegun &&
      this.#eventBuffer !== undefined;
    if (isUnused) return;
    this.#recordRun(endpoint);
    this.#triedIds.add(endpoint.id);
    if (outcome.kind === "answered") this.#lastFailure = outcome.answer;
  }

  #handleTakenOver({ from, to }: TakenOver): void {
    if (this.#request.writer.hasStarted) {
      this.#recordResume(from, `Endpoint ${to.id} takes over`);
    }
    this.#eventBuffer = this.#takeoverBuffer;
    this.#takeoverBuffer = undefined;
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
  #takeRetry(reason: string, sends = this.#attempts): boolean {
    const { service, requestId, scope } = this.#request;
    if (scope.endedBy !== undefined) return false;
    const { retryBudget, mesh, events, metrics } = this.#deps;
    const now = performance.now();
    const senders = mesh.countSenders();
    const { isAllowed, credit } = retryBudget.takeRetry(service, now, senders);
    const decision = isAllowed ? "allowed" : "refused";
    metrics.count("retry_decisions_total", { service, decision });
    events.write(EVENT.requestRepeated, {
      requestId,
      service,
      reason,
      isAllowed,
      sends,
      credit: {
        earned: formatCredit(credit.earned),
        extra: formatCredit(credit.extra),
        senders,
      },
    });
    return isAllowed;
  }

  #giveUpWithoutEndpoint(): ForwardResult {
    const isGone = this.#streamVersion.getEndpoints()?.length === 0;
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

function formatCredit(retries: number): number {
  return Number(retries.toFixed(2));
}
