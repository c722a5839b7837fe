/**
 * The fake of a model engine, a pool worker or a plain service.
 *
 * @module
 */
import { type Address, ENDPOINT_ROLE } from "@sardinestep/types";
import { Hono } from "hono";
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
import { EndpointCalls } from "./endpoint_calls.ts";
import { Engine } from "./engine.ts";
import { FakeServer } from "./fake_server.ts";
import { buildRefusal, readBody } from "./http.ts";
import { LoadHistory } from "./load_history.ts";
import { engineOrderSchema, Orders } from "./orders.ts";

/** Counters and current state of a fake endpoint. */
export interface FakeEndpointStatus extends FakeEndpointCounters {
  readonly endpointId: string;
  readonly instance: string;
  readonly state: "cold" | "warm" | "leaving";
  readonly running: number;
  readonly waiting: number;
  readonly maxRunsPerKey: number;
  readonly runsTotal: number;
}

/** A running fake endpoint. */
export class FakeEndpoint {
  readonly server: FakeServer;
  readonly settings: EndpointSettings;
  readonly #faults: ActiveFaults = createActiveFaults();
  readonly #counters = createEndpointCounters();
  readonly #engine: Engine;
  readonly #orders: Orders;
  readonly #load: LoadHistory;
  #instance = randomUUID();
  readonly #calls: EndpointCalls;

  constructor(options: FakeEndpointOptions) {
    this.settings = endpointSettingsSchema.parse(options);
    const context = {
      settings: this.settings,
      faults: this.#faults,
      counters: this.#counters,
    };
    this.#engine = new Engine(context);
    this.#calls = new EndpointCalls({
      ...context,
      engine: this.#engine,
      getServer: () => this.server,
      getInstance: () => this.#instance,
      onLoadChange: () => this.#recordLoad(),
    });
    this.#orders = new Orders(this.settings);
    this.#load = new LoadHistory(this.settings.reportLagMs);
    this.#load.add(this.#buildSample());
    this.server = new FakeServer({
      listen: this.settings.listen,
      routes: this.#buildRoutes(),
      handleRaw: (incoming, outgoing) =>
        this.#calls.handleRequest(incoming, outgoing),
    });
  }

  get address(): Address {
    return this.server.address;
  }

  /** Instance id; a restart creates a new one. */
  get instance(): string {
    return this.#instance;
  }

  /** Runs by key. */
  get runCounts(): Engine["runCounts"] {
    return this.#engine.runCounts;
  }

  /** Orders accepted so far, oldest first. */
  get orders(): Orders["accepted"] {
    return this.#orders.accepted;
  }

  getCounters(): FakeEndpointStatus {
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

  /** Switches lasting faults on or off and triggers one-time faults. */
  async setFaults(faults: EndpointFaults): Promise<void> {
    const { outage, silentConnections, restart, turnCold, ...lastingFaults } =
      faults;
    if (lastingFaults.leaving && !this.#faults.leaving) {
      this.#calls.setLeavingSince(Date.now());
    }
    Object.assign(this.#faults, lastingFaults);
    if (silentConnections) this.server.setConnectionsSilent();
    if (turnCold) this.#engine.warmup.setCold(performance.now());
    if (restart) this.restartInstance();
    if (outage) await this.server.setOutage(outage);
  }

  /** Drops all calls and connections and starts cold as a new instance. */
  restartInstance(): void {
    this.#counters.restarts += 1;
    this.#instance = randomUUID();
    this.server.dropConnections();
    this.#engine.stopAll("Endpoint restarted");
    this.#engine.dropFinishedStreams();
    this.#engine.warmup.setCold(performance.now());
  }

  async close(): Promise<void> {
    await this.server.close();
    this.#engine.stopAll("Endpoint closed");
  }

  #getState(): "cold" | "warm" | "leaving" {
    if (this.#faults.leaving) return "leaving";
    return this.#engine.warmup.isCold(performance.now()) ? "cold" : "warm";
  }

  #recordLoad(): void {
    this.#load.add(this.#buildSample());
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
    this.#recordLoad();
    const { running, waiting, state } = this.#load.getLagged(performance.now());
    return {
      endpointId: this.settings.endpointId,
      instance: this.#instance,
      ageMs: this.settings.reportLagMs,
      running,
      waiting,
      state,
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
      return context.json(this.#orders.latest ?? null);
    });
    routes.post("/v1/orders", async (context) => {
      const order = await readBody(context, engineOrderSchema);
      if (order instanceof Response) return order;
      const appliedOrder = await this.#orders.apply(order);
      if (appliedOrder) {
        this.#counters.ordersAccepted += 1;
        return context.json(appliedOrder);
      }
      this.#counters.ordersRefused += 1;
      return context.json(
        buildRefusal("Fencing number is lower than that of an earlier order"),
        409,
      );
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

/** Settings of {@link startFakeEndpoint}; all are optional. */
export type StartEndpointOptions = Partial<FakeEndpointOptions>;

/**
 * Starts a fake endpoint in this process.
 *
 * @param options Its settings; by default it is a plain service on a free port.
 * @returns The running fake; the caller closes it.
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
