/**
 * HTTP adapter for the weight store.
 *
 * @module
 */
import type { PortError, WeightStorePort } from "@sardinestep/ports";
import * as http from "@sardinestep/ports/http";
import type { Result } from "ts-results-es";
import { z } from "zod";

const CONNECTIONS = 2;

const infoSchema = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number().nonnegative(),
});
const loadSchema = z.object({
  bytesPerSecond: z.number().nonnegative(),
  loadsRunning: z.number().int().nonnegative(),
});

/** Address of the weight store. */
export interface HttpWeightStoreOptions {
  /** For example `http://127.0.0.1:7300`. */
  readonly baseUrl: string;
}

/**
 * Creates the port to the weight store.
 *
 * @param options Address of the store.
 * @returns The port; it connects on the first call.
 * @example
 * ```ts
 * const store = openHttpWeightStore({ baseUrl: "http://127.0.0.1:7300" });
 * ```
 */
export function openHttpWeightStore(
  options: HttpWeightStoreOptions,
): WeightStorePort {
  const address = new URL(options.baseUrl).host;
  const connections = new http.HttpConnections({
    connectionsPerAddress: CONNECTIONS,
  });
  async function read<T>(
    path: string,
    { schema, timeoutMs }: { schema: z.ZodType<T>; timeoutMs: number },
  ): Promise<Result<T, PortError>> {
    const request = { method: "GET", path, timeoutMs } as const;
    return http.checkJson(await connections.send(address, request), schema);
  }
  return {
    describe: (model, timeoutMs) =>
      read(`/v1/models/${encodeURIComponent(model)}`, {
        schema: infoSchema,
        timeoutMs,
      }),
    readLoad: (timeoutMs) =>
      read("/v1/load", { schema: loadSchema, timeoutMs }),
    close: () => connections.close(),
  };
}
