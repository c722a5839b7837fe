/**
 * A single attempt: sends a request to one endpoint and handles its answer.
 *
 * @module
 */
import type * as answerHeads from "@sardinestep/answer_heads";
import * as bufferBudget from "@sardinestep/buffer_budget";
import * as endpointPaths from "@sardinestep/endpoint_paths";
import * as serving from "@sardinestep/serving";
import type { Address } from "@sardinestep/types";
import { match } from "ts-pattern";
import {
  END_VERDICT,
  judgeEnd,
  type Moment,
  readMoment,
} from "./answer_deadline.ts";
import type { AnswerWriter, CompleteAnswer } from "./answer_writer.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import { type EventBuffer, type EventStep, EventTail } from "./event_buffer.ts";
import type { StreamPosition } from "./event_scanner.ts";
import { HeldAnswer } from "./held_answer.ts";
import {
  type AnswerSink,
  type HttpPool,
  type PoolCall,
  type PoolFailure,
  PROCESS_STATE,
  type ProcessState,
  type SendConnection,
} from "./http_pool.ts";
import type { AnswerMetadata, CallerMetadata, WireAdapter } from "./ports.ts";
import { END_REASON, type RequestScope } from "./request_scope.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  /** The complete answer was received; nothing was written to the caller yet. */
  | { readonly kind: "answered"; readonly answer: CompleteAnswer }
  /** The stream was written to the caller to its end. */
  | { readonly kind: "streamed"; readonly end: StreamEnd }
  /** The endpoint reports that it did not run the request. */
  | {
    readonly kind: "notRun";
    readonly status: number;
    readonly proof: NotRunProof;
  }
  /** Nothing was sent on any connection, so the request did not run. */
  | { readonly kind: "notSent"; readonly message: string }
  /** The request may have run; its answer is missing or incomplete. */
  | {
    readonly kind: "lost";
    readonly message: string;
    /** The endpoint closed or reset the connection. */
    readonly isDisconnect: boolean;
  }
  /** Cancelled, since the endpoint beside which it ran went on. */
  | { readonly kind: "superseded" }
  /** The request was ended first: the caller disconnected or the time ran out. */
  | { readonly kind: "ended"; readonly end: Partial<StreamEnd> };

/** Where a stream ended. */
export interface StreamEnd extends StreamPosition {
  /** What showed its end. */
  readonly framing: answerHeads.Framing;
}

/** Where an answer arrived which says that the request did not run. */
export interface NotRunProof {
  /** Its connection carried another request before. */
  readonly isReused: boolean;
  /** Address of the endpoint when the request was sent. */
  readonly address: Address;
  /** Number of the connection among those that this VM opened. */
  readonly connection: number;
}

/** Why a running attempt is cancelled. */
export const CANCEL_CAUSE = {
  /** Its endpoint is silent, and another one goes on. */
  endpointSilent: "endpointSilent",
  /** The silent endpoint that it was to replace goes on. */
  superseded: "superseded",
} as const;
/** A value of {@link CANCEL_CAUSE}. */
export type CancelCause = typeof CANCEL_CAUSE[keyof typeof CANCEL_CAUSE];

/** An attempt that was started. */
export interface RunningAttempt {
  /** Resolves when the attempt ends; never rejects. */
  readonly outcome: Promise<AttemptOutcome>;
  /** Closes the connection at once; no effect on an attempt that has ended. */
  cancel(cause: CancelCause): void;
}

/** The parts of a request that are the same in every attempt. */
export interface SendableRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body?: Uint8Array;
  readonly caller?: CallerMetadata;
}

/** Options of {@link startAttempt}. */
export interface AttemptOptions {
  readonly request: SendableRequest;
  readonly endpoint: serving.ServingEndpoint;
  readonly wire: WireAdapter;
  readonly pool: HttpPool;
  readonly endpointTracker: EndpointTracker;
  readonly scope: RequestScope;
  readonly writer: AnswerWriter;
  readonly customer?: string;
  /** Priority at the endpoint, 0 (first) to 9. */
  readonly priority?: number;
  readonly inputs: readonly string[];
  readonly leftMs: number;
  /** Longest idle time of a pooled connection that may be reused, in ms. */
  readonly maxIdleMs: number;
  /** Connections that have carried this request; answers to all its sends have one id. */
  readonly usedConnections: WeakSet<SendConnection>;
  /** VMs that send requests to the endpoint. */
  readonly senders: number;
  /** Time without progress after which an endpoint is silent, in milliseconds. */
  readonly inactivityTimeoutMs?: number;
  readonly isStream: boolean;
  /** Whether its events go on with those of another run. */
  readonly isResume: boolean;
  /** Set for resumable streams: passes on complete events only. */
  readonly eventBuffer?: EventBuffer;
  /** Called when a connection is open and the request is written to it. */
  readonly handleSent: () => void;
  /** Called when the endpoint starts to answer this request. */
  readonly handleAnswerStart: () => void;
  /**
   * Called when the first bytes of a stream are passed on, with the monotonic time at
   * which its connection was open.
   */
  readonly handleFirstEvent: (openedAt: number) => void;
  /** Called when the endpoint begins a successful answer. */
  readonly handleBegun?: () => void;
  /** Called before bytes of a stream, or its end, are passed on. */
  readonly handleDelivery?: () => void;
  /** Called each time that the endpoint was silent for the inactivity timeout. */
  readonly handleSilence?: () => void;
  /** Whether it runs beside an attempt that has the answer; it doesn't if unset. */
  readonly isBeside?: () => boolean;
}

/** Largest answer that is buffered before it is passed on, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1_048_576;
const STATUS_OK_MIN = 200;
const STATUS_OK_MAX = 299;
/** Status of an endpoint that has no room for a request. */
export const STATUS_REJECTED = 503;
/** Lowest HTTP status that counts as a failure of the endpoint. */
export const STATUS_FAILURE_MIN = 500;

/**
 * Sends a request to one endpoint and handles its answer.
 *
 * @param options The request, the endpoint and the writer for the answer.
 * @returns How the attempt ended; the promise never rejects.
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptOutcome> {
  return startAttempt(options).outcome;
}

/**
 * Starts to send a request to one endpoint.
 *
 * @param options The request, the endpoint and the writer for the answer.
 * @returns The running attempt, which can be cancelled.
 */
export function startAttempt(options: AttemptOptions): RunningAttempt {
  const { promise, resolve } = createOutcome();
  const attempt = new Attempt(options, resolve);
  attempt.start();
  return { outcome: promise, cancel: (cause) => attempt.cancel(cause) };
}

function createOutcome() {
  let resolve: (outcome: AttemptOutcome) => void = () => {};
  const promise = new Promise<AttemptOutcome>((resolveOutcome) => {
    resolve = resolveOutcome;
  });
  return { promise, resolve };
}

class Attempt implements AnswerSink {
  readonly #options: AttemptOptions;
  readonly #resolve: (outcome: AttemptOutcome) => void;
  #call: PoolCall | undefined;
  #removeEndListener: () => void = () => {};
  #inactivityTimeout: endpointPaths.IoTimeout | undefined;
  /** Monotonic time at which its connection was open. */
  #openedAt = Infinity;
  /** When the request was written. */
  #sentAt: Moment = { steadyMs: Infinity, wallMs: Infinity };
  #isReused = false;
  #connectionNumber = 0;
  #status = 0;
  #headers: ReadonlyMap<string, string> = new Map();
  #answerMetadata: AnswerMetadata = {
    isNotRun: false,
    isMarkedNotRun: false,
    isMisdirected: false,
    notices: {},
  };
  readonly #body = new bufferBudget.GrowingBuffer();
  readonly #held: HeldAnswer;
  #releaseBody: (() => void) | undefined;
  #isStreaming = false;
  readonly #tail = new EventTail();
  #isFinished = false;
  /** Whether the endpoint was silent for the inactivity timeout. */
  #wasSilent = false;

  constructor(
    options: AttemptOptions,
    resolve: (outcome: AttemptOutcome) => void,
  ) {
    this.#options = options;
    this.#held = new HeldAnswer(options.writer.answerAccount);
    options.eventBuffer?.setStart(options.request.caller?.lastEventId);
    this.#resolve = resolve;
  }

  start(): void {
    const { request, endpoint, wire, pool, endpointTracker, scope } =
      this.#options;
    const { processes } = endpointTracker;
    if (!this.#holdBody()) {
      this.#isFinished = true;
      const message = "The endpoint holds too many bytes of request bodies";
      return this.#resolve({ kind: "notSent", message });
    }
    endpointTracker.recordStart(endpoint);
    this.#call = pool.send({
      address: endpoint.address,
      method: request.method,
      path: request.path,
      headers: wire.buildForwardHeaders(request.rawHeaders, {
        leftMs: this.#options.leftMs,
        endpointId: endpoint.id,
        customer: this.#options.customer,
        priority: this.#options.priority,
        inputs: this.#options.inputs,
        lastEventId: this.#options.eventBuffer?.lastEventId,
      }),
      body: request.body,
      maxIdleMs: this.#options.maxIdleMs,
      mayUse: (connection) => !this.#options.usedConnections.has(connection),
      checkProcess: this.#options.isStream
        ? () => processes.check(endpoint, performance.now())
        : undefined,
    }, this);
    if (this.#isFinished) return;
    this.#removeEndListener = scope.addEndListener(() => this.#handleEnded());
    this.#restartInactivityTimeout();
  }

  cancel(cause: CancelCause): void {
    match(cause)
      .with(CANCEL_CAUSE.endpointSilent, () => {
        const message = "Endpoint is silent";
        this.#finish({ kind: "lost", message, isDisconnect: false }, undefined);
      })
      .with(
        CANCEL_CAUSE.superseded,
        () => this.#finish({ kind: "superseded" }, undefined),
      )
      .exhaustive();
  }

  handleSent(connection: SendConnection): void {
    const { openedAt, isReused, number } = connection;
    this.#options.usedConnections.add(connection);
    this.#openedAt = openedAt;
    this.#sentAt = readMoment();
    this.#isReused = isReused;
    this.#connectionNumber = number;
    this.#options.handleSent();
    // Once the process has crashed, nothing shows any more which version it was.
    if (this.#options.eventBuffer !== undefined) void this.#checkProcess();
  }

  handleHead(status: number, headers: ReadonlyMap<string, string>): void {
    const { wire, request, endpoint, endpointTracker } = this.#options;
    this.#status = status;
    this.#headers = headers;
    this.#answerMetadata = wire.readAnswer(status, headers);
    const { requestId, isNotRun, notices } = this.#answerMetadata;
    if (requestId !== request.requestId) {
      return this.#fail(
        requestId === undefined
          ? "Answer has no request id"
          : `Answer has wrong request id "${requestId}"`,
      );
    }
    if (!isNotRun) this.#options.handleAnswerStart();
    const isRejected = isNotRun && status === STATUS_REJECTED;
    const rejectedSenders = isRejected ? this.#options.senders : undefined;
    endpointTracker.recordNotices(endpoint, notices, {
      isNotRun,
      rejectedSenders,
    });
    if (isSuccess(status) && this.#answerMetadata.signature === undefined) {
      return this.#fail("Successful answer has no signature");
    }
    if (isSuccess(status) && this.#answerMetadata.isMarkedNotRun) {
      return this.#fail("Successful answer says that the request did not run");
    }
    if (isSuccess(status)) {
      this.#options.handleBegun?.();
      this.#holdResume();
    }
    this.#restartInactivityTimeout();
  }

  handleData(chunk: Uint8Array): void {
    const isRelayed = this.#options.isStream && isSuccess(this.#status);
    if (isRelayed) {
      this.#relayChunk(chunk);
      return this.#holdAnswer(this.#options.eventBuffer?.heldBytes ?? 0);
    }
    this.#restartInactivityTimeout();
    if (this.#body.length + chunk.length > MAX_ANSWER_BYTES) {
      return this.#fail("Answer is too large");
    }
    this.#body.append(chunk);
    this.#holdAnswer(this.#body.capacity);
  }

  handleEnd(framing: answerHeads.Framing): void {
    const { isNotRun, isMisdirected } = this.#answerMetadata;
    if (isNotRun) {
      const proof = {
        isReused: this.#isReused,
        address: this.#options.endpoint.address,
        connection: this.#connectionNumber,
      };
      const status = this.#status;
      // Idle as it is, a stale endpoint would be the first choice of each request.
      const evidence = isMisdirected ? serving.EVIDENCE.misdirected : undefined;
      return this.#finish({ kind: "notRun", status, proof }, evidence);
    }
    const { leftMs, scope: { deadlineAt } } = this.#options;
    const verdict = judgeEnd({
      framing,
      endedAt: readMoment(),
      sentAt: this.#sentAt,
      leftMs,
      deadlineAt,
    });
    match(verdict)
      .with(END_VERDICT.whole, () => this.#handleWhole(framing))
      .with(END_VERDICT.timeUp, () => this.#handleTimeUp(framing))
      .with(END_VERDICT.uncertain, () => {
        const message = "The endpoint's time was up if the VM was suspended";
        this.#finish({ kind: "lost", message, isDisconnect: false }, undefined);
      })
      .exhaustive();
  }

  #handleWhole(framing: answerHeads.Framing): void {
    if (this.#options.isStream && isSuccess(this.#status)) {
      return this.#endStream(framing);
    }
    const evidence = this.#status >= STATUS_FAILURE_MIN
      ? serving.EVIDENCE.failed
      : serving.EVIDENCE.good;
    this.#finish({
      kind: "answered",
      answer: {
        status: this.#status,
        headers: this.#headers,
        body: this.#body.getBytes(),
        framing,
      },
    }, evidence);
  }

  handleFailure(failure: PoolFailure): void {
    const isTimeUp = this.#options.scope.endedBy !== undefined;
    if (failure.kind === "lost" && isTimeUp) return this.#handleTimeUp();
    this.#finish(failure, serving.EVIDENCE.broken);
  }

  /** Whether the stream begins after an event that the caller has. */
  get #hasEarlierEvents(): boolean {
    const { eventBuffer, request } = this.#options;
    return eventBuffer?.lastEventId !== undefined ||
      request.caller?.lastEventId !== undefined;
  }

  /** Reads no event of a resumed stream until its process is the registered one. */
  #holdResume(): void {
    const { isResume, endpoint, endpointTracker } = this.#options;
    const isHeld = isResume &&
      !endpointTracker.processes.hasRun(endpoint, this.#openedAt);
    if (!isHeld) return;
    this.#call?.pause();
    void this.#checkProcess().then((state) => {
      if (state === PROCESS_STATE.running) return this.#call?.resume();
      const message =
        `The state of the process at which the stream goes on is ${state}`;
      this.#finish({ kind: "lost", message, isDisconnect: false }, undefined);
    });
  }

  /** Finds out whether the registered process has the connection. */
  #checkProcess(): Promise<ProcessState> {
    const { endpoint, endpointTracker } = this.#options;
    return endpointTracker.processes.check(endpoint, this.#openedAt);
  }

  /** Counts the body toward the endpoint; false if the endpoint has no room. */
  #holdBody(): boolean {
    const { writer, request, endpoint } = this.#options;
    if (writer.account === undefined) return true;
    this.#releaseBody = writer.account.endpoints.addBody(
      endpoint.id,
      request.body?.length ?? 0,
    );
    return this.#releaseBody !== undefined;
  }

  /** Ends the attempt if there is no memory for what it holds. */
  #holdAnswer(bytes: number): void {
    if (this.#isFinished || this.#held.set(bytes)) return;
    const message = "The VM has no memory for more of the answer";
    this.#finish({ kind: "lost", message, isDisconnect: false }, undefined);
  }

  #relayChunk(chunk: Uint8Array): void {
    const step = this.#takeEvents(chunk);
    switch (step.kind) {
      case "events":
        return this.#writeEvents(step.bytes);
      case "badId":
        this.#writeEvents(step.bytes);
        return this.#fail(step.message);
      case "tooLong":
        return this.#fail("Event is too long");
    }
  }

  #writeEvents(bytes: Uint8Array): void {
    const { writer, handleFirstEvent, handleDelivery } = this.#options;
    if (bytes.length === 0) return;
    this.#restartInactivityTimeout();
    handleDelivery?.();
    if (!this.#isStreaming) {
      this.#startStream();
      handleFirstEvent(this.#openedAt);
    }
    if (writer.writeChunk(bytes)) return;
    this.#call?.pause();
    this.#inactivityTimeout?.cancel();
    writer.waitForDrain(() => {
      // An endpoint that fell silent during the pause sends nothing to restart it.
      if (writer.account !== undefined) this.#restartInactivityTimeout();
      this.#call?.resume();
    });
  }

  /** Takes what may be passed on: whole events only if the stream can be resumed. */
  #takeEvents(chunk: Uint8Array): EventStep {
    const { eventBuffer } = this.#options;
    return eventBuffer?.takeCompleteEvents(chunk) ?? this.#tail.add(chunk);
  }

  #startStream(): void {
    const { writer } = this.#options;
    this.#isStreaming = true;
    if (!writer.hasStarted) writer.startStream(this.#status, this.#headers);
  }

  #endStream(framing: answerHeads.Framing): void {
    const { eventBuffer, writer, handleDelivery } = this.#options;
    const { hasPartial, events, lastEventId } = eventBuffer ?? this.#tail;
    if (hasPartial) return this.#fail("Stream ended inside an event");
    if (eventBuffer?.isEventDue) {
      return this.#fail("Stream ended before an event that had begun");
    }
    // Nothing may be left after the last event that the caller has.
    if (events === 0 && !this.#hasEarlierEvents) {
      return this.#fail("Stream ended without an event");
    }
    if (!this.#isStreaming && this.#options.isBeside?.()) {
      // The silent endpoint may have more events; nothing shows which one is right.
      const message = "Takeover ended without an event";
      const outcome = { kind: "lost", message, isDisconnect: false } as const;
      return this.#finish(outcome, undefined);
    }
    handleDelivery?.();
    if (!this.#isStreaming) this.#startStream();
    writer.endStream();
    const end = { framing, events, lastEventId };
    this.#finish({ kind: "streamed", end }, serving.EVIDENCE.good);
  }

  /** Ends the request, whose time is up although its timer may not have run. */
  #handleTimeUp(framing?: answerHeads.Framing): void {
    this.#handleEnded(framing);
    this.#options.scope.end(END_REASON.timedOut);
  }

  /** @param framing Set if the end of the answer was read, which shows nothing. */
  #handleEnded(framing?: answerHeads.Framing): void {
    const position = this.#options.eventBuffer ?? this.#tail;
    const { events, lastEventId } = position;
    const end = this.#isStreaming
      ? { events, lastEventId, framing }
      : { framing };
    this.#finish({ kind: "ended", end }, undefined);
  }

  #restartInactivityTimeout(): void {
    const { inactivityTimeoutMs, handleSilence } = this.#options;
    if (inactivityTimeoutMs === undefined || this.#isFinished) return;
    this.#inactivityTimeout?.cancel();
    this.#inactivityTimeout = new endpointPaths.IoTimeout(() => {
      this.#restartInactivityTimeout();
      this.#recordSilence();
      handleSilence?.();
    }, inactivityTimeoutMs);
  }

  /** Other requests avoid a silent endpoint before this one knows how it ends. */
  #recordSilence(): void {
    if (this.#wasSilent) return;
    this.#wasSilent = true;
    const { endpointTracker, endpoint } = this.#options;
    endpointTracker.recordEvidence(endpoint, serving.EVIDENCE.broken);
  }

  #fail(message: string): void {
    this.#finish(
      { kind: "lost", message, isDisconnect: false },
      serving.EVIDENCE.broken,
    );
  }

  #finish(
    outcome: AttemptOutcome,
    evidence: serving.Evidence | undefined,
  ): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#inactivityTimeout?.cancel();
    this.#removeEndListener();
    this.#releaseBody?.();
    this.#held.set(0);
    // Has no effect if the answer was already read to its end.
    this.#call?.cancel();
    this.#options.endpointTracker.recordEnd(this.#options.endpoint, evidence);
    this.#resolve(outcome);
  }
}

function isSuccess(status: number): boolean {
  return status >= STATUS_OK_MIN && status <= STATUS_OK_MAX;
}
