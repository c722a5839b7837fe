/**
 * Runs any number of fakes in one process.
 *
 * @module
 */
import { Hono } from "hono";
import { FakeEndpoint } from "./endpoint.ts";
import { FakeServer } from "./fake_server.ts";
import { FakeLog } from "./log.ts";
import type { KeyRuns } from "./run_counts.ts";
import { type FakesSettings, fakesSettingsSchema } from "./settings.ts";
import { FakeStore } from "./store.ts";
import { FakeVmList } from "./vm_list.ts";

/** The running fakes of a settings file. */
export class Fakes {
  readonly logs: readonly FakeLog[];
  readonly vmLists: readonly FakeVmList[];
  readonly stores: readonly FakeStore[];
  readonly endpoints: readonly FakeEndpoint[];
  readonly #admin?: FakeServer;

  constructor(settings: FakesSettings) {
    const parsed = fakesSettingsSchema.parse(settings);
    this.logs = parsed.logs.map((log) => new FakeLog(log));
    this.vmLists = parsed.vmLists.map((list) => new FakeVmList(list));
    this.stores = parsed.stores.map((store) => new FakeStore(store));
    this.endpoints = parsed.endpoints.map((endpoint) =>
      new FakeEndpoint(endpoint)
    );
    if (parsed.adminListen !== undefined) {
      const routes = this.#buildRoutes();
      this.#admin = new FakeServer({ listen: parsed.adminListen, routes });
    }
  }

  /** Listens on all addresses; rejects if one is in use. */
  async start(): Promise<void> {
    await Promise.all(this.#getServers().map((server) => server.start()));
  }

  async close(): Promise<void> {
    await Promise.all(this.#getServers().map((server) => server.close()));
  }

  /** Returns the runs by key over all endpoints. */
  getRuns(): Record<string, KeyRuns> {
    const merged: Record<string, KeyRuns> = {};
    for (const endpoint of this.endpoints) {
      for (const [key, runs] of endpoint.runCounts.entries()) {
        const ofKey = merged[key] ??= { count: 0, operations: [], digests: [] };
        ofKey.count += runs.count;
        ofKey.operations.push(...runs.operations);
        ofKey.digests.push(...runs.digests);
      }
    }
    return merged;
  }

  #getServers(): FakeServer[] {
    const fakes = [
      ...this.logs,
      ...this.vmLists,
      ...this.stores,
      ...this.endpoints,
    ];
    const servers = fakes.map((fake) => fake.server);
    return this.#admin ? [...servers, this.#admin] : servers;
  }

  #buildRoutes(): Hono {
    const routes = new Hono();
    routes.get("/admin/runs", (context) => context.json(this.getRuns()));
    routes.get(
      "/admin/endpoints",
      (context) =>
        context.json(this.endpoints.map((endpoint) => ({
          ...endpoint.getCounters(),
          address: endpoint.address,
          service: endpoint.settings.service,
          zone: endpoint.settings.zone,
        }))),
    );
    routes.all("/admin/at/:address/:action", async (context) => {
      const { address, action } = context.req.param();
      const server = this.#getServers().find((other) =>
        other.address === address
      );
      if (!server) return context.json({ error: "Unknown address" }, 404);
      const url = new URL(`/admin/${action}`, context.req.url);
      const { method } = context.req;
      const body = method === "POST" ? await context.req.text() : undefined;
      return await server.routes.request(url, { method, body });
    });
    return routes;
  }
}

/**
 * Starts all fakes of a settings file's content.
 *
 * @param settings Address and settings of each fake.
 * @returns The running fakes; the caller closes them.
 * @example
 * ```ts
 * const fakes = await startFakes({ logs: [{ listen: "127.0.0.1:7100" }] });
 * ```
 */
export async function startFakes(settings: FakesSettings): Promise<Fakes> {
  const fakes = new Fakes(settings);
  await fakes.start();
  return fakes;
}
