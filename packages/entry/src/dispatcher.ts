/**
 * Executes the actions of the decider: starts and cancels stage calls and answers
 * requests. All decisions are made in the decisions package.
 *
 * @module
 */
import type * as decisions from "@sardinestep/decisions";
import type * as ports from "@sardinestep/ports";
import type * as timeline from "@sardinestep/timeline";
import {
  type EndpointFacts,
  type RequestFacts,
  type RequestId,
  type StageResult,
} from "@sardinestep/types";
import type { Result } from "ts-results-es";
import {
  createCompletion,
  createRefusal,
  type RequestAnswer,
  type RequestCost,
} from "./answer.ts";
import { getResultKey, type RequestContext } from "./context.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { SiteController } from "./site_state.ts";
import {
  buildRequestFacts,
  buildStageCall,
  classifyError,
} from "./stage_call.ts";
import { StreamRelay } from "./stream_relay.ts";

/** Dependencies of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly decider: decisions.Decider;
  readonly endpoints: ports.EndpointPort;
  readonly site: SiteController;
  readonly timeline: timeline.Timeline;
  readonly metrics: EntryMetrics;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
  /** Uniform in [0, 1). */
  readonly drawRandom: () => number;
  /** Called for every finished stage of a request that has a key. */
  readonly onStageResult: (result: StageResult) => void;
}

type StartCallAction = Extract<
  decisions.DecisionAction,
  { kind: "start_call" }
>;
type RefuseAction = Extract<decisions.DecisionAction, { kind: "refuse" }>;

interface RunningRequest {
  readonly context: RequestContext;
  readonly facts: RequestFacts;
  readonly outputs: unknown[];
  readonly cost: RequestCost;
  readonly relay?: StreamRelay;
  readonly resolve: (answer: RequestAnswer) => void;
}

interface RunningCall {
  readonly request: RunningRequest;
  readonly stage: number;
  readonly endpoint: EndpointFacts;
  readonly abort: AbortController;
  readonly startedAt: number;
  /** Set once the decider has cancelled the call. */
  isCancelled: boolean;
}

/** Runs requests through their stages as the decider directs. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #requests = new Map<RequestId, RunningRequest>();
  readonly #calls = new Map<string, RunningCall>();
  /** Running calls per endpoint, including cancelled non-repeatable ones. */
  readonly #endpointCalls = new Map<string, number>();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Number of requests without an answer. */
  get runningRequests(): number {
    return this.#requests.size;
  }

  /** Number of running calls, including cancelled non-repeatable ones. */
  get runningCalls(): number {
    return this.#calls.size;
  }

  /** Checks whether a request would be admitted now, without side effects. */
  checkAdmission(
    context: RequestContext,
  ): Result<void, decisions.AdmissionRefusal> {
    return this.#options.decider.checkAdmission({
      now: this.#options.readNow(),
      random: this.#options.drawRandom(),
      request: buildRequestFacts(context),
    });
  }

  /** Runs a request from its first stage without a stored result to its answer. */
  run(context: RequestContext): Promise<RequestAnswer> {
    return new Promise((resolve) => {
      const facts = buildRequestFacts(context);
      const request: RunningRequest = {
        context,
        facts,
        outputs: context.priorResults.map((result) => result.output),
        cost: { calls: 0, tokens: 0, workerMs: 0 },
        relay: context.sink && new StreamRelay(context.sink),
        resolve,
      };
      this.#requests.set(facts.requestId, request);
      this.apply({
        kind: "request_arrived",
        ...this.#readTimeAndRandom(),
        request: facts,
      });
      // Ends the request immediately if the caller has already disconnected.
      this.#watchCaller(request);
    });
  }

  /** Passes an event to the decider and executes the resulting actions. */
  apply(event: decisions.DecisionEvent): void {
    for (const action of this.#options.decider.decide(event)) {
      this.#executeAction(action);
    }
  }

  /** Advances the clock of the decider. */
  tick(): void {
    this.apply({ kind: "ticked", ...this.#readTimeAndRandom() });
  }

  #readTimeAndRandom(): { now: number; random: number } {
    const { readNow, drawRandom } = this.#options;
    return { now: readNow(), random: drawRandom() };
  }

  #watchCaller(request: RunningRequest): void {
    const { callerConnection } = request.context;
    // A non-repeatable call continues: a later retry may fetch its answer.
    if (request.context.isAtMostOnce) return;
    callerConnection.addDisconnectHandler(() => {
      const { requestId } = request.facts;
      if (!this.#requests.has(requestId)) return;
      this.apply({
        kind: "caller_gone",
        ...this.#readTimeAndRandom(),
        requestId,
      });
      this.#answer(
        requestId,
        createRefusal("PORT_CANCELLED", "The caller has disconnected"),
      );
    });
  }

  #executeAction(action: decisions.DecisionAction): void {
    // A plain switch, since ts-pattern allocates on every match and this path is hot.
    switch (action.kind) {
      case "start_call":
        return void this.#startCall(action);
      case "cancel_call":
        return this.#cancelCall(action.callId);
      case "complete":
        return this.#complete(action.requestId);
      case "refuse":
        return this.#refuse(action);
      default:
        action satisfies never;
    }
  }

  async #startCall(start: StartCallAction): Promise<void> {
    const call = this.#openCall(start);
    if (!call) return;
    const { endpoints } = this.#options;
    const result = await endpoints.call(
      buildStageCall({
        start,
        context: call.request.context,
        facts: call.request.facts,
        endpoint: call.endpoint,
        previous: call.request.outputs[start.stage - 1],
      }),
      {
        signal: call.abort.signal,
        ...this.#buildPartHandler(start, call),
      },
    );
    this.#closeCall(start.callId, call);
    if (result.isOk()) this.#handleAnswer(start.callId, call, result.value);
    else this.#handleError(start.callId, call, result.error);
  }

  /** Runs the final checks in the same event loop turn in which the call is sent. */
  #openCall(start: StartCallAction): RunningCall | undefined {
    const request = this.#requests.get(start.requestId);
    const endpoint = this.#options.site.findEndpoint(start.endpointId);
    const stage = request?.facts.stages[start.stage];
    if (!request || !endpoint || !stage) {
      return this.#failUnsentCall(start.callId, "not_sent", "gone");
    }
    // Prevents overload of a cold endpoint: the call limit may have changed since
    // the decision, for instance while this process was paused.
    const running = this.#endpointCalls.get(start.endpointId) ?? 0;
    if (!this.#options.site.mayCall(start.endpointId, running)) {
      return this.#failUnsentCall(start.callId, "refused", "slice");
    }
    // Prevents a dispatch after the deadline or after the attempt was abandoned,
    // for instance by an entry that was paused between claim and dispatch.
    const { claimant } = request.context;
    const now = this.#options.readNow();
    if (!stage.repeatable && !claimant?.beginDispatch(now)) {
      return this.#failUnsentCall(start.callId, "refused", "claim");
    }
    const call: RunningCall = {
      request,
      stage: start.stage,
      endpoint,
      abort: new AbortController(),
      startedAt: now,
      isCancelled: false,
    };
    this.#calls.set(start.callId, call);
    this.#endpointCalls.set(start.endpointId, running + 1);
    const { isHedge } = start;
    this.#recordCallEvent("stage_sent", call, { stage: stage.name, isHedge });
    return call;
  }

  /** Fails a call that the final check `check` rejected. */
  #failUnsentCall(
    callId: string,
    reason: decisions.CallFailureKind,
    check: "gone" | "slice" | "claim",
  ): undefined {
    this.#options.metrics.countUnsent(check);
    this.#failCall(callId, reason);
  }

  #closeCall(callId: string, { endpoint }: RunningCall): void {
    this.#calls.delete(callId);
    const running = this.#endpointCalls.get(endpoint.endpointId) ?? 1;
    if (running > 1) this.#endpointCalls.set(endpoint.endpointId, running - 1);
    else this.#endpointCalls.delete(endpoint.endpointId);
  }

  #buildPartHandler(
    start: StartCallAction,
    call: RunningCall,
  ): Pick<ports.CallOptions, "onPart"> {
    const isLast = start.stage === call.request.facts.stages.length - 1;
    if (call.endpoint.role !== "generator") return {};
    let hasProgressed = false;
    const onPart = (part: ports.OutputPart) => {
      if (!hasProgressed) {
        hasProgressed = true;
        const now = this.#options.readNow();
        this.#options.metrics.recordFirstPart(call.request.facts, now);
        this.apply({ kind: "call_progressed", now, callId: start.callId });
      }
      if (isLast && !call.isCancelled) {
        call.request.relay?.handlePart(start.callId, part);
      }
    };
    return { onPart };
  }

  #handleAnswer(
    callId: string,
    call: RunningCall,
    answer: ports.StageAnswer,
  ): void {
    const { request, endpoint, stage } = call;
    this.#options.site.recordAnswer(endpoint.endpointId, answer.instance);
    this.#options.metrics.recordCall(request.facts, stage, {
      tokens: answer.outputTokens,
      workerMs: answer.workerMs,
      isWasted: call.isCancelled,
      durationMs: this.#options.readNow() - call.startedAt,
    });
    const spec = request.facts.stages[stage];
    this.#recordCallEvent("stage_finished", call, { stage: spec?.name ?? "" });
    if (spec && !spec.repeatable) {
      request.context.claimant?.finish(answer.output);
    }
    if (call.isCancelled) return;
    request.cost.calls += 1;
    request.cost.tokens += answer.outputTokens;
    request.cost.workerMs += answer.workerMs;
    request.outputs[stage] = answer.output;
    if (stage === request.facts.stages.length - 1) {
      request.relay?.handleFinished(callId, answer.output);
    }
    this.#keepResult(callId, call, answer);
    this.apply({
      kind: "call_finished",
      ...this.#readTimeAndRandom(),
      callId,
      workerMs: answer.workerMs,
      outputTokens: answer.outputTokens,
    });
  }

  #keepResult(
    callId: string,
    call: RunningCall,
    answer: ports.StageAnswer,
  ): void {
    const { request, stage, endpoint } = call;
    const resultKey = getResultKey(request.context);
    const spec = request.facts.stages[stage];
    if (!resultKey || !spec) return;
    this.#options.onStageResult({
      ...resultKey,
      stage,
      stageName: spec.name,
      attempt: callId,
      endpointId: endpoint.endpointId,
      output: answer.output,
      outputTokens: answer.outputTokens,
      workerMs: answer.workerMs,
    });
  }

  #handleError(
    callId: string,
    call: RunningCall,
    error: ports.PortError,
  ): void {
    const { request, stage, endpoint } = call;
    const reason = classifyError(error);
    this.#options.site.recordFailure(endpoint.endpointId);
    // A failed connect means that the endpoint is down or restarting, except for a
    // hedged call that was cancelled while it waited for a connection.
    if (reason === "not_sent" && !call.isCancelled) {
      this.#options.site.recordDisconnect(endpoint.address);
    }
    request.relay?.handleFailed(callId);
    const spec = request.facts.stages[stage];
    if (spec && !spec.repeatable) request.context.claimant?.fail(reason);
    this.#options.metrics.countCallError(request.facts, stage, error.kind);
    const { message } = error;
    const name = spec?.name ?? "";
    this.#recordCallEvent("stage_failed", call, {
      stage: name,
      reason,
      message,
    });
    if (!call.isCancelled) this.#failCall(callId, reason);
  }

  #recordCallEvent(
    name: string,
    { request, endpoint }: RunningCall,
    detail: timeline.TimelineEvent["detail"],
  ): void {
    const { facts, context } = request;
    this.#options.timeline.record(name, {
      requestId: facts.requestId,
      endpointId: endpoint.endpointId,
      ...(context.keyId && { key: context.keyId.key }),
    }, detail);
  }

  #failCall(callId: string, reason: decisions.CallFailureKind): void {
    this.apply({
      kind: "call_failed",
      ...this.#readTimeAndRandom(),
      callId,
      reason,
    });
  }

  #cancelCall(callId: string): void {
    const call = this.#calls.get(callId);
    if (!call) return;
    call.isCancelled = true;
    const spec = call.request.facts.stages[call.stage];
    // A non-repeatable call continues, since its outcome is still needed.
    if (spec?.repeatable) call.abort.abort();
  }

  #complete(requestId: RequestId): void {
    const request = this.#requests.get(requestId);
    if (!request) return;
    const output = request.outputs[request.facts.stages.length - 1];
    this.#answer(requestId, createCompletion(output, request.cost));
  }

  #refuse(refuse: RefuseAction): void {
    const { requestId, code, retryAfterMs, hasSentCall } = refuse;
    const message = hasSentCall
      ? "Abandoned the request after a stage was sent"
      : "Refused the request before any stage was sent";
    this.#answer(requestId, createRefusal(code, message, { retryAfterMs }));
  }

  #answer(requestId: RequestId, answer: RequestAnswer): void {
    const request = this.#requests.get(requestId);
    if (!request) return;
    this.#requests.delete(requestId);
    request.resolve(answer);
  }
}
