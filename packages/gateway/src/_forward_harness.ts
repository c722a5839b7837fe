/**
 * Requests that are forwarded to endpoints without a network, for tests.
 *
 * @module
 */
import type * as answerHeads from "@sardinestep/answer_heads";
import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as rollout from "@sardinestep/rollout";
import * as serving from "@sardinestep/serving";
import { setTimeout as wait } from "node:timers/promises";
import type { AnswerWriter } from "./answer_writer.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type {
  FlowDependencies,
  ForwardResult,
  RoutedRequest,
} from "./flow_types.ts";
import { sendRequest, type StagedInputs } from "./forward.ts";
import {
  type AnswerSink,
  type HttpPool,
  type PoolRequest,
  PROCESS_STATE,
  type ProcessState,
  type SendConnection,
} from "./http_pool.ts";
import type { PeerMesh } from "./peer_mesh.ts";
import type { WireAdapter } from "./ports.ts";
import type { ProcessReports } from "./process_reports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { END_REASON, RequestScope } from "./request_scope.ts";
import type { Rollouts } from "./rollouts.ts";

const REQUEST_ID = "r1";
const SERVICE = "engine";
/** Time without an event after which an endpoint is silent, in milliseconds. */
export const SILENCE_MS = 40;
const OBJECTIVE_MS = SILENCE_MS / 2;
const RETRY_WINDOW_MS = 10_000;
/** Retries at once for each additional retry of the window. */
const CREDIT_OF_EXTRA = 0.26;
const POLL_MS = 2;
const WAIT_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;
const STATUS_FULL = 503;
/** Status of an endpoint that could not read stage results. */
export const STATUS_INPUTS_MISSING = 409;
const STATUS_MISDIRECTED = 421;
const NOT_RUN_STATUSES = new Set([
  STATUS_MISDIRECTED,
  429,
  STATUS_FULL,
  STATUS_INPUTS_MISSING,
]);

const ROUTE: serving.Route = {
  name: "chat",
  host: "chat",
  pathPrefix: "/",
  kind: serving.ROUTE_KIND.stream,
  timeoutMs: 5_000,
  objectiveMs: OBJECTIVE_MS,
  priority: 0,
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  stages: [],
  isPublic: true,
  isResumable: true,
};

/** Options of {@link ForwardHarness}. */
export interface ForwardHarnessOptions {
  /** Versions of the endpoints `e0`, `e1` and so on. */
  readonly versions?: readonly string[];
  readonly route?: Partial<serving.Route>;
  /** Retries that the budget allows at once. */
  readonly retries?: number;
  /** Stage results that the request reads. */
  readonly inputs?: readonly string[];
  /** Whether answers lack the id of the request. */
  readonly hasNoIds?: boolean;
  /** Whether connections carried other requests before. */
  readonly areConnectionsReused?: boolean;
  /** Finds out which process runs at an endpoint; the registered one if unset. */
  readonly checkProcess?: (endpointId: string) => Promise<ProcessState>;
}

/** A request that an endpoint received. */
export class SentCall {
  /** Monotonic time at which it was sent. */
  readonly at = performance.now();
  readonly endpointId: string;
  readonly lastEventId: string | undefined;
  readonly inputs: string;
  /** The connection that carries it. */
  readonly connection: SendConnection;
  /** Whether that of an earlier call might have carried it. */
  readonly mayUseEarlier: boolean;
  isCancelled = false;
  isPaused = false;
  readonly #sink: AnswerSink;

  constructor(
    request: PoolRequest,
    sink: AnswerSink,
    { connection, earlier }: {
      readonly connection: SendConnection;
      readonly earlier: readonly SentCall[];
    },
  ) {
    const { address, headers, mayUse = () => true } = request;
    this.endpointId = address;
    this.connection = connection;
    this.mayUseEarlier = earlier.some((call) => mayUse(call.connection));
    this.lastEventId = headers[0] || undefined;
    this.inputs = headers[1] ?? "";
    this.#sink = sink;
  }

  /** Starts an answer. */
  begin(status = STATUS_OK): void {
    this.#sink.handleHead(status, new Map());
  }

  /** Sends bytes of the answer, unless it was cancelled. */
  write(text: string): void {
    if (!this.isCancelled) this.#sink.handleData(Buffer.from(text));
  }

  /** Sends a complete event. */
  writeEvent(id: number): void {
    this.write(`id: ${id}\ndata: ${this.endpointId}\n\n`);
  }

  end(framing: answerHeads.Framing = "chunks"): void {
    if (!this.isCancelled) this.#sink.handleEnd(framing);
  }

  refuse(status = STATUS_FULL): void {
    this.begin(status);
    this.end();
  }

  breakOff(): void {
    if (this.isCancelled) return;
    this.#sink.handleFailure({
      kind: "lost",
      message: "reset",
      isDisconnect: true,
    });
  }
}

/** Forwards one request to endpoints that the test drives. */
export class ForwardHarness {
  readonly calls: SentCall[] = [];
  readonly scope = new RequestScope();
  /** Events that the caller received, as id and endpoint. */
  readonly events: string[] = [];
  readonly lines: Record<string, unknown>[] = [];
  /** Evidence on endpoints, one for each attempt that gave any. */
  readonly evidence: string[] = [];
  /** Outcomes that count for roll-outs, by endpoint. */
  readonly recordedEnds: string[] = [];
  /** Outcomes that count for the quarantine, by endpoint. */
  readonly recordedOutcomes: string[] = [];
  firstEvents = 0;
  isStreamEnded = false;
  /** Whether the caller reads. */
  isReading = true;
  #hasStarted = false;
  #drain: () => void = () => {};
  readonly #options: ForwardHarnessOptions;
  readonly #endpoints: readonly serving.ServingEndpoint[];

  constructor(options: ForwardHarnessOptions = {}) {
    const { versions = ["v1", "v1", "v1", "v1"] } = options;
    this.#options = options;
    this.#endpoints = versions.map((version, i) => ({
      id: `e${i}`,
      service: SERVICE,
      address: `e${i}`,
      zone: "a",
      slots: 8,
      isDraining: false,
      coldMs: 0,
      version,
    }));
  }

  /** Forwards the request until it has a final result. */
  run(): Promise<ForwardResult> {
    const request = this.#createRequest();
    this.scope.startDeadline(request.timeoutMs);
    return sendRequest(this.#createDependencies(), request, {
      staged: { inputs: this.#options.inputs ?? [], inputBytes: {} },
      handleInputsRead: () => {},
      handleFirstEvent: () => {
        this.firstEvents += 1;
      },
      rerunStages: () => this.rerunStages(),
    }).finally(() => this.scope.end(END_REASON.done));
  }

  /** Keeps the event loop busy until the time of the request is up. */
  passDeadline(): void {
    while (performance.now() < this.scope.deadlineAt);
  }

  /** Counts the VMs that share the retry budget. */
  countSenders = (): number => 1;

  /** Runs the stages of the request again. */
  rerunStages = (): Promise<StagedInputs | undefined> =>
    Promise.resolve(undefined);

  /** Waits until so many requests have been sent to endpoints. */
  async waitForCalls(count: number): Promise<SentCall[]> {
    const until = performance.now() + WAIT_TIMEOUT_MS;
    while (this.calls.length < count) {
      if (performance.now() > until) throw new Error(`No call ${count}`);
      await wait(POLL_MS);
    }
    return this.calls;
  }

  /** Reads on as the caller, after it was slow. */
  drain(): void {
    this.isReading = true;
    this.#drain();
  }

  /** Decisions on takeovers, with the reason to wait. */
  getDecisions(): unknown[] {
    return this.lines.filter(({ event }) => event === "takeover_decided")
      .map(({ decision, reason }) => reason ?? decision);
  }

  #createRequest(): RoutedRequest {
    const route = { ...ROUTE, ...this.#options.route };
    return {
      requestId: REQUEST_ID,
      fingerprint: "f1",
      partKeys: [],
      table: { services: new Map() } as unknown as serving.RouteTable,
      route,
      service: SERVICE,
      rank: 0,
      timeoutMs: route.timeoutMs,
      method: "POST",
      path: "/",
      host: route.host,
      rawHeaders: [],
      caller: { requestId: REQUEST_ID, prompt: [], pieceCounts: [] },
      scope: this.scope,
      writer: this.#createWriter(),
    };
  }

  #createWriter(): AnswerWriter {
    const isStarted = () => this.#hasStarted;
    const writer: Partial<AnswerWriter> = {
      get hasStarted() {
        return isStarted();
      },
      startStream: () => {
        this.#hasStarted = true;
      },
      writeChunk: (chunk) => {
        const text = Buffer.from(chunk).toString();
        const events = text.matchAll(/^id: (\d+)\ndata: (\w+)$/gm);
        this.events.push(...[...events].map(([, id, from]) => `${id} ${from}`));
        return this.isReading;
      },
      waitForDrain: (handle) => {
        this.#drain = handle;
      },
      endStream: () => {
        this.isStreamEnded = true;
      },
    };
    return writer as AnswerWriter;
  }

  #createDependencies(): FlowDependencies {
    const endpoints = this.#endpoints;
    const processes: Partial<ProcessReports> = {
      hasRun: () => this.#options.checkProcess === undefined,
      check: ({ id }) =>
        this.#options.checkProcess?.(id) ??
          Promise.resolve(PROCESS_STATE.running),
    };
    const tracker: Partial<EndpointTracker> = {
      processes: processes as ProcessReports,
      recordStart: () => {},
      recordEvidence: ({ id }, evidence) => {
        this.evidence.push(`${id} ${evidence}`);
      },
      recordEnd: ({ id }, evidence) => {
        if (evidence !== undefined) this.evidence.push(`${id} ${evidence}`);
      },
      recordNotices: () => {},
      getUsableEndpoints: () => [...endpoints],
      getResumeEndpoints: () => [...endpoints],
      getCandidates: (_, usable) =>
        usable.map(({ id, zone, slots }, i) => ({
          id,
          zone,
          slots,
          inFlight: i,
          isAvoided: false,
        })),
      find: (id) => endpoints.find((endpoint) => endpoint.id === id),
    };
    const rollouts: Partial<Rollouts> = {
      planSides: () => [rollout.SIDE.present],
      planRetrySides: () => [rollout.SIDE.present],
      recordSent: () => {},
      recordEnd: ({ id }, _, { kind }) => {
        this.recordedEnds.push(`${id} ${kind}`);
      },
    };
    const quarantine: Partial<RequestQuarantine> = {
      check: () => undefined,
      hasSuspectPart: () => false,
      recordAnswer: () => {},
      recordOutcome: ({ id }, outcome) => {
        const isDisconnect = outcome.kind === "lost" && outcome.isDisconnect;
        this.recordedOutcomes.push(
          `${id} ${isDisconnect ? "disconnect" : outcome.kind}`,
        );
      },
    };
    const wire: Partial<WireAdapter> = {
      buildForwardHeaders: (_, { lastEventId, inputs }) => [
        lastEventId ?? "",
        inputs.join(),
      ],
      readAnswer: (status) => ({
        requestId: this.#options.hasNoIds ? undefined : REQUEST_ID,
        signature: "s",
        isNotRun: NOT_RUN_STATUSES.has(status),
        isMarkedNotRun: NOT_RUN_STATUSES.has(status),
        isMisdirected: status === STATUS_MISDIRECTED,
        notices: {},
      }),
    };
    const mesh: Partial<PeerMesh> = { countSenders: () => this.countSenders() };
    const pool: Partial<HttpPool> = {
      send: (request, sink) => {
        const { areConnectionsReused: isReused = false } = this.#options;
        const connection = {
          openedAt: performance.now(),
          isReused,
          number: this.calls.length + 1,
        };
        const earlier = [...this.calls];
        const call = new SentCall(request, sink, { connection, earlier });
        this.calls.push(call);
        sink.handleSent?.(connection);
        return {
          cancel: () => {
            call.isCancelled = true;
          },
          pause: () => {
            call.isPaused = true;
          },
          resume: () => {
            call.isPaused = false;
          },
        };
      },
    };
    const deps: Partial<FlowDependencies> = {
      zone: "a",
      endpointTracker: tracker as EndpointTracker,
      pool: pool as HttpPool,
      wire: wire as WireAdapter,
      mesh: mesh as PeerMesh,
      retryBudget: new serving.RetryBudget({
        ratio: 0,
        extra: (this.#options.retries ?? 50) / CREDIT_OF_EXTRA,
        windowMs: RETRY_WINDOW_MS,
      }, { startedAt: -RETRY_WINDOW_MS, random: () => 0.99 }),
      rollouts: rollouts as Rollouts,
      quarantine: quarantine as RequestQuarantine,
      streamNotes: {
        record: () => {},
      } as unknown as FlowDependencies["streamNotes"],
      events: new logger.EventLog({
        process: "test",
        vmId: "vm-1",
        output: {
          writableLength: 0,
          write: (text: string) => this.lines.push(JSON.parse(text)),
        },
      }),
      metrics: new metrics.Metrics({ prefix: "test" }),
      isContended: () => false,
    };
    return deps as FlowDependencies;
  }
}
