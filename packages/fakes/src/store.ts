/**
 * The fake of the rate-limited weight store.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { Hono } from "hono";
import { z } from "zod";
import { FakeServer, OUTAGE } from "./fake_server.ts";
import { buildRefusal, readBody, waitMs } from "./http.ts";
import { RateLimit } from "./rate_limit.ts";

const DEFAULT_BYTES_PER_SECOND = 1_000_000_000;
const DEFAULT_REQUESTS_PER_SECOND = 50;

const modelSchema = z.strictObject({
  model: z.string(),
  version: z.string(),
  bytes: z.number().nonnegative(),
});

/** Settings of one fake weight store. */
export const storeSettingsSchema = z.strictObject({
  listen: z.string(),
  bytesPerSecond: z.number().positive().default(DEFAULT_BYTES_PER_SECOND),
  requestsPerSecond: z.number().positive().default(DEFAULT_REQUESTS_PER_SECOND),
  models: z.array(modelSchema).default([]),
});
export type FakeStoreOptions = z.input<typeof storeSettingsSchema>;

/** Faults of a fake weight store; omitted fields stay unchanged. */
export const storeFaultsSchema = z.strictObject({
  outage: z.enum(OUTAGE).optional(),
  slowMs: z.number().nonnegative().optional(),
  requestsPerSecond: z.number().positive().optional(),
  /** Number of next requests that are refused with status 429. */
  rateLimitNext: z.number().int().nonnegative().optional(),
  /** Number of loads that the store reports as running. */
  loadsRunning: z.number().int().nonnegative().optional(),
});
export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** Counters of a fake weight store. */
export interface StoreCounters {
  requests: number;
  rateLimited: number;
}

/** A running fake weight store. */
export class FakeStore {
  readonly server: FakeServer;
  readonly #settings: z.infer<typeof storeSettingsSchema>;
  readonly #rate: RateLimit;
  readonly #counters: StoreCounters = { requests: 0, rateLimited: 0 };
  #slowMs = 0;
  #rateLimitNext = 0;
  #loadsRunning = 0;

  constructor(options: FakeStoreOptions) {
    this.#settings = storeSettingsSchema.parse(options);
    this.#rate = new RateLimit(
      this.#settings.requestsPerSecond,
      performance.now(),
    );
    this.server = new FakeServer({
      listen: this.#settings.listen,
      routes: this.#buildRoutes(),
    });
  }

  get address(): Address {
    return this.server.address;
  }

  /** Base URL for adapters. */
  get url(): string {
    return `http://${this.address}`;
  }

  getCounters(): Readonly<StoreCounters> {
    return { ...this.#counters };
  }

  /** Switches faults on or off. */
  async setFaults(faults: StoreFaults): Promise<void> {
    this.#slowMs = faults.slowMs ?? this.#slowMs;
    this.#rateLimitNext = faults.rateLimitNext ?? this.#rateLimitNext;
    this.#loadsRunning = faults.loadsRunning ?? this.#loadsRunning;
    if (faults.requestsPerSecond) this.#rate.setRate(faults.requestsPerSecond);
    if (faults.outage) await this.server.setOutage(faults.outage);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  #acquireRequest(): number {
    if (this.#rateLimitNext === 0) {
      return this.#rate.acquireToken(performance.now());
    }
    this.#rateLimitNext -= 1;
    return 1;
  }

  #buildRoutes(): Hono {
    const routes = new Hono();
    routes.use("/v1/*", async (context, next) => {
      const retryAfterMs = this.#acquireRequest();
      if (retryAfterMs > 0) {
        this.#counters.rateLimited += 1;
        return context.json(
          buildRefusal("Rate limit exceeded", retryAfterMs),
          429,
        );
      }
      this.#counters.requests += 1;
      await waitMs(this.#slowMs);
      return await next();
    });
    routes.get("/v1/load", (context) =>
      context.json({
        bytesPerSecond: this.#settings.bytesPerSecond,
        loadsRunning: this.#loadsRunning,
      }));
    routes.get("/v1/models/:model", (context) => {
      const name = context.req.param("model");
      const model = this.#settings.models.find((entry) => entry.model === name);
      if (model) return context.json(model);
      return context.json(buildRefusal(`Unknown model "${name}"`), 404);
    });
    routes.get(
      "/admin/counters",
      (context) => context.json(this.getCounters()),
    );
    routes.post("/admin/faults", async (context) => {
      const faults = await readBody(context, storeFaultsSchema);
      if (faults instanceof Response) return faults;
      await this.setFaults(faults);
      return context.json({});
    });
    return routes;
  }
}

/**
 * Starts a fake weight store in this process.
 *
 * @param options Its settings; by default it listens on a free loopback port.
 * @returns The running fake; the caller closes it.
 * @example
 * ```ts
 * const store = await startFakeStore({ requestsPerSecond: 2 });
 * ```
 */
export async function startFakeStore(
  options: Partial<FakeStoreOptions> = {},
): Promise<FakeStore> {
  const store = new FakeStore({ listen: "127.0.0.1:0", ...options });
  await store.server.start();
  return store;
}
