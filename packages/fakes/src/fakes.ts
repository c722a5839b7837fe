/**
 * Any number of stand-ins in one process.
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

/** The running stand-ins of a settings file. */
export class Fakes {
  readonly logs: readonly FakeLog[];
  readonly vmLists: readonly FakeVmList[];
  readonly stores: readonly FakeStore[];
  readonly endpoints: readonly FakeEndpoint[];
  readonly #admin?: FakeServer;

  constructor(settings: FakesSettings) {
    const checked = fakesSettingsSchema.parse(settings);
    this.logs = checked.logs.map((one) => new FakeLog(one));
    this.vmLists = checked.vmLists.map((one) => new FakeVmList(one));
    this.stores = checked.stores.map((one) => new FakeStore(one));
    this.endpoints = checked.endpoints.map((one) => new FakeEndpoint(one));
    if (checked.adminListen !== undefined) {
      const routes = this.#buildRoutes();
      this.#admin = new FakeServer({ listen: checked.adminListen, routes });
    }
  }

  /** Listens on all addresses; rejects when one is taken. */
  async start(): Promise<void> {
    await Promise.all(this.#getServers().map((server) => server.start()));
  }

  async close(): Promise<void> {
    await Promise.all(this.#getServers().map((server) => server.close()));
  }

  /** What ran under which key, over all endpoints. */
  getRuns(): Record<string, KeyRuns> {
    const merged: Record<string, KeyRuns> = {};
    for (const endpoint of this.endpoints) {
      for (const [key, runs] of endpoint.runCounts.entries()) {
        const all = merged[key] ??= { count: 0, operations: [], digests: [] };
        all.count += runs.count;
        all.operations.push(...runs.operations);
        all.digests.push(...runs.digests);
      }
    }
    return merged;
  }

  #getServers(): FakeServer[] {
    const all = [
      ...this.logs,
      ...this.vmLists,
      ...this.stores,
      ...this.endpoints,
    ];
    const servers = all.map((one) => one.server);
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
      const server = this.#getServers().find((one) => one.address === address);
      if (!server) return context.json({ error: "No such stand-in" }, 404);
      const url = new URL(`/admin/${action}`, context.req.url);
      const { method } = context.req;
      const body = method === "POST" ? await context.req.text() : undefined;
      return await server.routes.request(url, { method, body });
    });
    return routes;
  }
}

/**
 * Starts all stand-ins of a settings file's content.
 *
 * @param settings Addresses and settings of each stand-in.
 * @returns The running stand-ins; close them at the end.
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
