/**
 * The fake of the append-only log service.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { type Context, Hono } from "hono";
import { z } from "zod";
import { FakeServer, OUTAGE } from "./fake_server.ts";
import { buildRefusal, dropAnswer, readBody, waitMs } from "./http.ts";
import { LogStreams } from "./log_streams.ts";
import { RateLimit } from "./rate_limit.ts";

const DEFAULT_RETENTION_MS = 3_600_000;
const DEFAULT_APPENDS_PER_SECOND = 300;
const DEFAULT_LIMIT = 1000;

/** Settings of one fake log. */
export const logSettingsSchema = z.strictObject({
  listen: z.string(),
  retentionMs: z.number().positive().default(DEFAULT_RETENTION_MS),
  appendsPerSecond: z.number().positive().default(DEFAULT_APPENDS_PER_SECOND),
});
export type FakeLogOptions = z.input<typeof logSettingsSchema>;

/** Faults of a fake log; omitted fields stay unchanged. */
export const logFaultsSchema = z.strictObject({
  outage: z.enum(OUTAGE).optional(),
  /** Delay added to each append and read. */
  slowMs: z.number().nonnegative().optional(),
  /** Number of next appends that take effect but whose answers are lost. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Number of next appends that lose their connection and take effect later. */
  lateAppends: z.number().int().nonnegative().optional(),
  /** Delay until a late append takes effect. */
  lateAppendMs: z.number().nonnegative().optional(),
  /** Number of next appends that are refused with status 429. */
  rateLimitNext: z.number().int().nonnegative().optional(),
  appendsPerSecond: z.number().positive().optional(),
  /** Drops the records of a stream below an offset. */
  trim: z.strictObject({ stream: z.string(), before: z.number().int() })
    .optional(),
});
export type LogFaults = z.infer<typeof logFaultsSchema>;

/** Counters of a fake log. */
export interface LogCounters {
  appends: number;
  reads: number;
  rateLimited: number;
  lostAnswers: number;
  lateAppends: number;
}

const querySchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().default(DEFAULT_LIMIT),
  waitMs: z.coerce.number().nonnegative().default(0),
});

/** A running fake log. */
export class FakeLog {
  readonly server: FakeServer;
  readonly #streams: LogStreams;
  readonly #rate: RateLimit;
  readonly #counters: LogCounters = {
    appends: 0,
    reads: 0,
    rateLimited: 0,
    lostAnswers: 0,
    lateAppends: 0,
  };
  #slowMs = 0;
  #loseAnswers = 0;
  #lateAppends = 0;
  #lateAppendMs = 0;
  #rateLimitNext = 0;

  constructor(options: FakeLogOptions) {
    const settings = logSettingsSchema.parse(options);
    this.#streams = new LogStreams(settings.retentionMs);
    this.#rate = new RateLimit(
      settings.appendsPerSecond,
      performance.now(),
    );
    this.server = new FakeServer({
      listen: settings.listen,
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

  getCounters(): Readonly<LogCounters> {
    return { ...this.#counters };
  }

  /** Switches faults on or off. */
  async setFaults(faults: LogFaults): Promise<void> {
    this.#slowMs = faults.slowMs ?? this.#slowMs;
    this.#loseAnswers = faults.loseAnswers ?? this.#loseAnswers;
    this.#lateAppends = faults.lateAppends ?? this.#lateAppends;
    this.#lateAppendMs = faults.lateAppendMs ?? this.#lateAppendMs;
    this.#rateLimitNext = faults.rateLimitNext ?? this.#rateLimitNext;
    if (faults.appendsPerSecond) this.#rate.setRate(faults.appendsPerSecond);
    if (faults.trim) {
      this.#streams.dropBefore(faults.trim.stream, faults.trim.before);
    }
    if (faults.outage) await this.server.setOutage(faults.outage);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  #buildRoutes(): Hono {
    const routes = new Hono();
    const path = "/v1/streams/:stream/records";
    routes.post(path, (context) => this.#handleAppend(context));
    routes.get(path, (context) => this.#handleRead(context));
    routes.get(
      "/admin/counters",
      (context) => context.json(this.getCounters()),
    );
    routes.post("/admin/faults", async (context) => {
      const faults = await readBody(context, logFaultsSchema);
      if (faults instanceof Response) return faults;
      await this.setFaults(faults);
      return context.json({});
    });
    return routes;
  }

  async #handleAppend(context: Context): Promise<Response> {
    const stream = context.req.param("stream") ?? "";
    const value: unknown = await context.req.json();
    const retryAfterMs = this.#acquireAppend();
    if (retryAfterMs > 0) {
      this.#counters.rateLimited += 1;
      return context.json(
        buildRefusal("Append rate limit exceeded", retryAfterMs),
        429,
      );
    }
    if (this.#lateAppends > 0) {
      this.#lateAppends -= 1;
      this.#startLateAppend(stream, value);
      return dropAnswer(context);
    }
    await waitMs(this.#slowMs);
    this.#counters.appends += 1;
    const receipt = this.#streams.append(stream, value, Date.now());
    if (this.#loseAnswers > 0) {
      this.#loseAnswers -= 1;
      this.#counters.lostAnswers += 1;
      return dropAnswer(context);
    }
    return context.json(receipt, 201);
  }

  #acquireAppend(): number {
    if (this.#rateLimitNext === 0) {
      return this.#rate.acquireToken(performance.now());
    }
    this.#rateLimitNext -= 1;
    return 1;
  }

  #startLateAppend(stream: string, value: unknown): void {
    this.#counters.lateAppends += 1;
    setTimeout(() => {
      this.#counters.appends += 1;
      this.#streams.append(stream, value, Date.now());
    }, this.#lateAppendMs).unref();
  }

  async #handleRead(context: Context): Promise<Response> {
    const query = querySchema.safeParse(context.req.query());
    if (!query.success) return context.json(buildRefusal("Invalid query"), 400);
    const stream = context.req.param("stream") ?? "";
    this.#counters.reads += 1;
    await waitMs(this.#slowMs);
    const page = this.#streams.getPage(stream, query.data, Date.now());
    if (page.records.length > 0 || query.data.waitMs === 0) {
      return context.json(page);
    }
    await this.#streams.waitForAppend(stream, query.data.waitMs);
    return context.json(this.#streams.getPage(stream, query.data, Date.now()));
  }
}

/**
 * Starts a fake log in this process.
 *
 * @param options Its settings; by default it listens on a free loopback port.
 * @returns The running fake; the caller closes it.
 * @example
 * ```ts
 * const log = await startFakeLog();
 * await log.setFaults({ loseAnswers: 1 });
 * ```
 */
export async function startFakeLog(
  options: Partial<FakeLogOptions> = {},
): Promise<FakeLog> {
  const log = new FakeLog({ listen: "127.0.0.1:0", ...options });
  await log.server.start();
  return log;
}
