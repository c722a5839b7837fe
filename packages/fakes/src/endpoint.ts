/**
 * The stand-in of a model engine, a pool worker or a plain service.
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
  readonly #calls: EndpointCalls;

  constructor(options: FakeEndpointOptions) {
    this.settings = endpointSettingsSchema.parse(options);
    const parts = {
      settings: this.settings,
      faults: this.#faults,
      counters: this.#counters,
    };
    this.#engine = new Engine(parts);
    this.#calls = new EndpointCalls({
      ...parts,
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
      this.#calls.setLeavingSince(Date.now());
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

  #getState(): "cold" | "warm" | "leaving" {
    if (this.#faults.leaving) return "leaving";
    return this.#engine.warmth.isCold(performance.now()) ? "cold" : "warm";
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
