/**
 * Follows each request through its log lines.
 *
 * @module
 */
import { getNumber, type LogLine } from "./log_lines.ts";
import { formatCause, OUTCOME_KIND, parseOutcome } from "./outcomes.ts";
import { parseTruncation } from "./truncation_statistics.ts";

/** Name of a route, customer, service or cause that no line gives. */
export const UNKNOWN = "unknown";
/** Part of the objective within which a refusal counts as one at once. */
const AT_ONCE_SHARE = 1 / 8;

/** What admission decided about a request. */
export interface TrackedRequest {
  readonly route: string;
  readonly customer: string;
  readonly service: string;
  /** `onTime`, `deferred` or `refused`; undefined if the line has none. */
  readonly lane?: string;
  readonly isReturn?: boolean;
  readonly marginMs?: number;
}

/** How a request ended. */
export type RequestEnd =
  | { readonly kind: "inTime" | "late" | "servedUnknown" }
  | {
    readonly kind: "refusedAtOnce" | "refusedLate" | "refusedUnknown";
    /** Undefined until the line of the refusal is read. */
    readonly cause?: string;
  }
  | { readonly kind: "failed" | "left"; readonly cause: string };

/** The last endpoint that a request was sent to. */
export interface Send {
  readonly endpointId: string;
  readonly atMs: number;
  /** Slowdown that the endpoint had reported, a multiple. */
  readonly slowdown?: number;
}

/** Handlers of what a {@link RequestTracker} finds. */
export interface TrackerHandlers {
  readonly handleArrival: (request: TrackedRequest, line: LogLine) => void;
  readonly handleEnd: (
    request: TrackedRequest,
    end: RequestEnd,
    line: LogLine,
  ) => void;
  /** The cause of a refusal on arrival. */
  readonly handleCause: (cause: string) => void;
  readonly handleSend: (request: TrackedRequest, send: Send) => void;
  /** The first event of a stream, `tookMs` after the send. */
  readonly handleFirstEvent: (
    request: TrackedRequest,
    send: Send,
    tookMs: number,
  ) => void;
}

interface OpenRequest {
  readonly request: TrackedRequest;
  readonly isRefused: boolean;
  stage?: string;
  send?: Send;
  firstEventMs?: number;
  isStarted: boolean;
}

/** Follows requests; keeps only open ones. */
export class RequestTracker {
  readonly #open = new Map<string, OpenRequest>();
  readonly #handlers: TrackerHandlers;

  /** @param handlers Called in the order of the lines. */
  constructor(handlers: TrackerHandlers) {
    this.#handlers = handlers;
  }

  /** Adds one line; lines of requests that are not open are ignored. */
  add(line: LogLine): void {
    // The lines of a request are written by one VM.
    const key = `${line.vm}\0${line.requestId}`;
    if (line.event === "request_admitted") return this.#addArrival(key, line);
    if (line.event === "request_refused") return this.#addRefusal(key, line);
    const open = this.#open.get(key);
    if (open === undefined || open.isRefused) return;
    if (line.event === "stage_queued") open.stage = String(line.stage);
    if (line.event === "request_sent") this.#addSend(open, line);
    if (line.event === "stream_started") this.#addFirstEvent(open, line);
    const truncation = parseTruncation(line);
    if (truncation !== undefined) {
      const cause = truncation.text;
      return this.#endRequest(key, open, { kind: "failed", cause }, line);
    }
    if (line.event === "request_answered") {
      this.#endRequest(key, open, buildAnswerEnd(open, line), line);
    }
    if (line.event === "request_cancelled") {
      const cause = `caller left ${formatPhase(open)}`;
      this.#endRequest(key, open, { kind: "left", cause }, line);
    }
  }

  #addArrival(key: string, line: LogLine): void {
    const request: TrackedRequest = {
      route: getText(line.route),
      customer: getText(line.customer),
      service: getText(line.service),
      lane: typeof line.lane === "string" ? line.lane : undefined,
      isReturn: typeof line.isReturn === "boolean" ? line.isReturn : undefined,
      marginMs: getNumber(line, "marginMs"),
    };
    const isRefused = line.decision === "refused" || line.lane === "refused";
    this.#open.set(key, { request, isRefused, isStarted: false });
    this.#handlers.handleArrival(request, line);
    if (!isRefused) return;
    this.#handlers.handleEnd(request, { kind: "refusedAtOnce" }, line);
  }

  /** Requests that are refused before admission have no line with their route. */
  #addRefusal(key: string, line: LogLine): void {
    const cause = formatCause(line.code, line.reason);
    const open = this.#open.get(key);
    this.#open.delete(key);
    if (open?.isRefused) return this.#handlers.handleCause(cause);
    const request = open?.request ??
      { route: UNKNOWN, customer: UNKNOWN, service: UNKNOWN };
    if (open === undefined) this.#handlers.handleArrival(request, line);
    this.#handlers.handleEnd(request, { kind: "refusedAtOnce", cause }, line);
  }

  #addSend(open: OpenRequest, line: LogLine): void {
    open.send = {
      endpointId: getText(line.endpointId),
      atMs: Date.parse(line.time),
      slowdown: getNumber(line, "slowdown"),
    };
    this.#handlers.handleSend(open.request, open.send);
  }

  #addFirstEvent(open: OpenRequest, line: LogLine): void {
    open.isStarted = true;
    // A resume has a first event of its own, which its endpoint counts.
    open.firstEventMs ??= getNumber(line, "firstEventMs");
    if (open.send === undefined) return;
    const tookMs = Math.max(0, Date.parse(line.time) - open.send.atMs);
    this.#handlers.handleFirstEvent(open.request, open.send, tookMs);
  }

  #endRequest(
    key: string,
    { request }: OpenRequest,
    end: RequestEnd,
    line: LogLine,
  ): void {
    this.#open.delete(key);
    this.#handlers.handleEnd(request, end, line);
  }
}

function buildAnswerEnd(open: OpenRequest, line: LogLine): RequestEnd {
  const objectiveMs = getNumber(line, "objectiveMs");
  const tookMs = getNumber(line, "tookMs");
  const kind = parseOutcome(String(line.outcome));
  const cause = formatCause(line.outcome, line.reason);
  switch (kind) {
    case OUTCOME_KIND.served: {
      const readyMs = open.isStarted ? open.firstEventMs : tookMs;
      if (readyMs === undefined || objectiveMs === undefined) {
        return { kind: "servedUnknown" };
      }
      return { kind: readyMs > objectiveMs ? "late" : "inTime" };
    }
    case OUTCOME_KIND.refused: {
      if (tookMs === undefined || objectiveMs === undefined) {
        return { kind: "refusedUnknown", cause };
      }
      const isAtOnce = tookMs <= objectiveMs * AT_ONCE_SHARE;
      return { kind: isAtOnce ? "refusedAtOnce" : "refusedLate", cause };
    }
    case OUTCOME_KIND.failed:
      return { kind: "failed", cause };
    default:
      return kind satisfies never;
  }
}

/** Formats how far a request was when its caller left. */
function formatPhase({ isStarted, send, stage }: OpenRequest): string {
  if (isStarted) return "after the first event";
  if (send !== undefined) return "after it was sent";
  return stage === undefined ? "before any stage" : `in stage ${stage}`;
}

function getText(value: unknown): string {
  return value === undefined ? UNKNOWN : String(value);
}
