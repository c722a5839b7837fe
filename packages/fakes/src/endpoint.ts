/**
 * The stand-in of a model engine, a pool worker or a plain service.
 *
 * @module
 */
import { type Address, ENDPOINT_ROLE } from "@sardinestep/types";
import { Hono } from "hono";
import type { IncomingMessage, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import {
  type ActiveFaults,
  createActiveFaults,
  createEndpointCounters,
  type EndpointFaults,
  endpointFaultsSchema,
  type EndpointSettings,
  endpointSettingsSchema,
  type FakeEndpointCounters,
  type FakeEndpointOptions,
} from "./endpoint_settings.ts";
import { Engine } from "./engine.ts";
import { FakeServer } from "./fake_server.ts";
import { buildRefusal, MAX_BODY_BYTES, readBody } from "./http.ts";
import { LoadHistory } from "./load_history.ts";
import { engineOrderSchema, Orders } from "./orders.ts";
import { buildDigest, type Run, type RunRequest } from "./run.ts";
import { StreamWriter } from "./stream_writer.ts";

const OPERATIONS_PATH = "/v1/operations/";
const RUNS_PATH = "/v1/runs/";

/** What an endpoint reports of itself beside its counts. */
export interface EndpointStatus extends FakeEndpointCounters {
  readonly endpointId: string;
  readonly instance: string;
  readonly state: "cold" | "warm" | "leaving";
  readonly running: number;
  readonly waiting: number;
  readonly maxRunsPerKey: number;
  readonly runsTotal: number;
}

/** A running endpoint stand-in. */
export class FakeEndpoint {
  readonly server: FakeServer;
  readonly settings: EndpointSettings;
  readonly #faults: ActiveFaults = createActiveFaults();
  readonly #counters = createEndpointCounters();
  readonly #engine: Engine;
  readonly #orders: Orders;
  readonly #load: LoadHistory;
  #instance = randomUUID();
  #leavingSince = 0;

  constructor(options: FakeEndpointOptions) {
    this.settings = endpointSettingsSchema.parse(options);
    this.#engine = new Engine({
      settings: this.settings,
      faults: this.#faults,
      counters: this.#counters,
    });
    this.#orders = new Orders(this.settings);
    this.#load = new LoadHistory(this.settings.reportLagMs);
    this.#load.add(this.#buildSample());
    this.server = new FakeServer({
      listen: this.settings.listen,
      routes: this.#buildRoutes(),
      handleRaw: (incoming, outgoing) => this.#handleRaw(incoming, outgoing),
    });
  }

  get address(): Address {
    return this.server.address;
  }

  /** This run of the endpoint; a restart makes a new one. */
  get instance(): string {
    return this.#instance;
  }

  /** What ran under which key. */
  get runCounts(): Engine["runCounts"] {
    return this.#engine.runCounts;
  }

  /** Orders taken so far, oldest first. */
  get orders(): Orders["accepted"] {
    return this.#orders.accepted;
  }

  getCounters(): EndpointStatus {
    return {
      ...this.#counters,
      endpointId: this.settings.endpointId,
      instance: this.#instance,
      state: this.#getState(),
      running: this.#engine.runningCount,
      waiting: this.#engine.waitingCount,
      maxRunsPerKey: this.runCounts.maxRunsPerKey,
      runsTotal: this.runCounts.total,
    };
  }

  /** Switches faults on or off, or does those that happen once. */
  async setFaults(faults: EndpointFaults): Promise<void> {
    const { outage, silentConnections, restart, turnCold, ...lasting } = faults;
    if (lasting.leaving && !this.#faults.leaving) {
      this.#leavingSince = Date.now();
    }
    Object.assign(this.#faults, lasting);
    if (silentConnections) this.server.setConnectionsSilent();
    if (turnCold) this.#engine.warmth.setCold(performance.now());
    if (restart) this.startAgain();
    if (outage) await this.server.setOutage(outage);
  }

  /** Loses all calls and connections and comes back cold as a new instance. */
  startAgain(): void {
    this.#counters.restarts += 1;
    this.#instance = randomUUID();
    this.server.dropConnections();
    this.#engine.stopAll("Endpoint restarted");
    this.#engine.dropKept();
    this.#engine.warmth.setCold(performance.now());
  }

  async close(): Promise<void> {
    await this.server.close();
    this.#engine.stopAll("Endpoint closed");
  }

  // The hot path stays on node:http: routing and Request objects cost more
  // than the call itself.
  #handleRaw(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
    const { method, url = "" } = incoming;
    if (method === "POST" && isCallPath(url)) {
      readText(incoming, (text) => this.#handleCall(url, text, outgoing));
      return true;
    }
    if (method === "GET" && url.startsWith(RUNS_PATH)) {
      this.#handleResume(url, outgoing);
      return true;
    }
    return false;
  }

  #handleCall(url: string, text: string, outgoing: ServerResponse): void {
    this.#countCall();
    const refusal = this.#decideRefusal();
    if (refusal) return this.#send(outgoing, refusal.status, refusal.body);
    const request = parseRequest(url, text, outgoing.req);
    if (!request) {
      return this.#send(outgoing, 400, buildRefusal("Malformed call"));
    }
    if (this.#engine.find(request.callId)) {
      return this.#send(outgoing, 409, buildRefusal("Call id is in use"));
    }
    const run = this.#engine.add(request);
    if (request.stream) this.#startStream(run, outgoing);
    else this.#startWhole(run, outgoing);
    this.#engine.checkOverload();
    this.#sampleLoad();
  }

  #countCall(): void {
    const now = Date.now();
    this.#counters.calls += 1;
    this.#counters.lastCallAt = now;
    if (!this.#faults.leaving) return;
    this.#counters.callsWhileLeaving += 1;
    this.#counters.lastCallAfterLeavingMs = now - this.#leavingSince;
  }

  #decideRefusal(): { status: number; body: object } | undefined {
    const faults = this.#faults;
    const downMs = this.#engine.warmth.getDownMs(performance.now());
    if (faults.rateLimit > 0) {
      faults.rateLimit -= 1;
      return this.#countRefusal(429, buildRefusal("Rate exceeded", 1));
    }
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      return this.#countRefusal(503, buildRefusal("Refused"));
    }
    if (downMs > 0) {
      return this.#countRefusal(
        503,
        buildRefusal("Endpoint fell over", downMs),
      );
    }
    if (!this.#engine.hasRoom()) {
      return this.#countRefusal(429, buildRefusal("Queue is full"));
    }
    return undefined;
  }

  #countRefusal(status: number, body: object) {
    this.#counters.refused += 1;
    return { status, body };
  }

  #startWhole(run: Run, outgoing: ServerResponse): void {
    run.listeners.add({
      handlePart: () => {},
      handleEnd: () => {
        const { delayMs } = this.#faults;
        if (delayMs === 0) this.#answerWhole(run, outgoing);
        else {setTimeout(() => this.#answerWhole(run, outgoing), delayMs)
            .unref();}
      },
    });
  }

  #answerWhole(run: Run, outgoing: ServerResponse): void {
    if (this.#decideLostAnswer()) {
      outgoing.destroy();
      return;
    }
    if (run.state === "failed") {
      return this.#send(outgoing, 500, { error: run.failure });
    }
    const { callId, operation, key, digest } = run.request;
    this.#send(outgoing, 200, {
      callId,
      instance: this.#instance,
      output: { endpointId: this.settings.endpointId, operation, key, digest },
      outputTokens: 0,
      workerMs: run.workerMs,
    });
  }

  #startStream(run: Run, outgoing: ServerResponse, resumeFrom?: number): void {
    const isFaulty = resumeFrom === undefined || this.#faults.faultResumes;
    new StreamWriter(run, {
      outgoing,
      from: resumeFrom ?? 0,
      instance: this.#instance,
      faults: isFaulty ? this.#faults : undefined,
      isSilent: () => this.server.isSilent(outgoing.socket),
      isAnswerLost: () => isFaulty && this.#decideLostAnswer(),
      delayMs: this.#faults.delayMs,
    }).start();
  }

  #handleResume(url: string, outgoing: ServerResponse): void {
    const { pathname, searchParams } = new URL(url, "http://endpoint");
    const run = this.#engine.find(getCallId(pathname));
    const from = Number(searchParams.get("from") ?? 0);
    if (!run?.request.stream || !Number.isSafeInteger(from) || from < 0) {
      return this.#send(outgoing, 404, buildRefusal("Unknown call"));
    }
    this.#counters.resumed += 1;
    this.#startStream(run, outgoing, from);
  }

  #decideLostAnswer(): boolean {
    if (this.#faults.loseAnswer === 0) return false;
    this.#faults.loseAnswer -= 1;
    this.#counters.lostAnswers += 1;
    return true;
  }

  #send(outgoing: ServerResponse, status: number, body: object): void {
    if (this.server.isSilent(outgoing.socket)) return;
    const text = JSON.stringify(body);
    outgoing.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "instance-id": this.#instance,
    });
    outgoing.end(text);
    this.#sampleLoad();
  }

  #getState(): "cold" | "warm" | "leaving" {
    if (this.#faults.leaving) return "leaving";
    return this.#engine.warmth.isCold(performance.now()) ? "cold" : "warm";
  }

  #sampleLoad(): void {
    if (this.#load.isDue(performance.now())) {
      this.#load.add(this.#buildSample());
    }
  }

  #buildSample() {
    return {
      at: performance.now(),
      running: this.#engine.runningCount,
      waiting: this.#engine.waitingCount,
      state: this.#getState(),
    };
  }

  #buildReport() {
    const now = performance.now();
    this.#sampleLoad();
    const { at, ...sample } = this.#load.getLagged(now);
    return {
      endpointId: this.settings.endpointId,
      instance: this.#instance,
      ageMs: Math.max(this.settings.reportLagMs, now - at),
      ...sample,
    };
  }

  #buildRoutes(): Hono {
    const routes = new Hono();
    routes.get("/v1/load", (context) => context.json(this.#buildReport()));
    routes.delete("/v1/runs/:callId", (context) => {
      const isCancelled = this.#engine.cancel(context.req.param("callId"));
      return context.json({ cancelled: isCancelled });
    });
    routes.get("/v1/orders", (context) => {
      return context.json(this.#orders.inForce ?? null);
    });
    routes.post("/v1/orders", async (context) => {
      const order = await readBody(context, engineOrderSchema);
      if (order instanceof Response) return order;
      const applied = await this.#orders.apply(order);
      if (applied) {
        this.#counters.ordersAccepted += 1;
        return context.json(applied);
      }
      this.#counters.ordersRefused += 1;
      return context.json(buildRefusal("Fencing number is old"), 409);
    });
    routes.get(
      "/admin/counters",
      (context) => context.json(this.getCounters()),
    );
    routes.get(
      "/admin/runs",
      (context) => context.json(this.runCounts.getAll()),
    );
    routes.post("/admin/faults", async (context) => {
      const faults = await readBody(context, endpointFaultsSchema);
      if (faults instanceof Response) return faults;
      await this.setFaults(faults);
      return context.json({});
    });
    return routes;
  }
}

function isCallPath(url: string): boolean {
  return url === "/v1/run" || url.startsWith(OPERATIONS_PATH);
}

function getCallId(pathname: string): string {
  return decodeURIComponent(pathname.slice(RUNS_PATH.length));
}

function readText(
  incoming: IncomingMessage,
  handle: (text: string) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) incoming.destroy();
    chunks.push(chunk);
  });
  incoming.on("end", () => handle(Buffer.concat(chunks).toString()));
}

function parseRequest(
  url: string,
  text: string,
  incoming: IncomingMessage,
): RunRequest | undefined {
  try {
    const body = JSON.parse(text);
    const key = incoming.headers["idempotency-key"] as string | undefined;
    return url === "/v1/run"
      ? buildEngineRequest(body, key)
      : buildOperationRequest({ url, text, body, key, incoming });
  } catch {
    return undefined;
  }
}

function buildEngineRequest(
  body: Record<string, unknown>,
  key: string | undefined,
): RunRequest | undefined {
  const { callId, priority = 0, stream = false, input } = body;
  if (typeof callId !== "string") return undefined;
  return {
    callId,
    key,
    operation: "",
    priority: Number(priority),
    stream: stream === true,
    input,
    digest: buildDigest(JSON.stringify(input) ?? ""),
  };
}

function buildOperationRequest(call: {
  readonly url: string;
  readonly text: string;
  readonly body: unknown;
  readonly key: string | undefined;
  readonly incoming: IncomingMessage;
}): RunRequest {
  const callId = call.incoming.headers["call-id"] as string | undefined;
  return {
    callId: callId ?? randomUUID(),
    key: call.key,
    operation: decodeURIComponent(call.url.slice(OPERATIONS_PATH.length)),
    priority: 0,
    stream: false,
    input: call.body,
    digest: buildDigest(call.text),
  };
}

/** Settings of {@link startFakeEndpoint}: all but the id and address may be left out. */
export type StartEndpointOptions = Partial<FakeEndpointOptions>;

/**
 * Starts an endpoint stand-in in this process.
 *
 * @param options Its settings; by default it is a plain service on a free port.
 * @returns The running stand-in; close it at the end.
 * @example
 * ```ts
 * const engine = await startFakeEndpoint({ role: "generator", callsToWarm: 4 });
 * await engine.setFaults({ cutStreamAfter: 3 });
 * ```
 */
export async function startFakeEndpoint(
  options: StartEndpointOptions = {},
): Promise<FakeEndpoint> {
  const endpoint = new FakeEndpoint({
    listen: "127.0.0.1:0",
    endpointId: `fake-${ENDPOINT_ROLE.service}`,
    ...options,
  });
  await endpoint.server.start();
  return endpoint;
}
