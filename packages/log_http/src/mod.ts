/**
 * HTTP adapter for the append-only log service.
 *
 * @module
 */
import type {
  AppendOptions,
  AppendReceipt,
  LogPage,
  LogPort,
  PortError,
  ReadOptions,
} from "@sardinestep/ports";
import * as http from "@sardinestep/ports/http";
import type { Address } from "@sardinestep/types";
import type { Result } from "ts-results-es";
import { z } from "zod";

/** Enough connections for a few long polls and group appends. */
const CONNECTIONS = 16;

const receiptSchema = z.object({
  offset: z.number().int().nonnegative(),
  time: z.number(),
});
const pageSchema = z.object({
  records: z.array(receiptSchema.extend({ value: z.unknown() })),
  firstOffset: z.number().int().nonnegative(),
  endOffset: z.number().int().nonnegative(),
});

/** Address of the log service. */
export interface HttpLogOptions {
  /** For example `http://127.0.0.1:7100`. */
  readonly baseUrl: string;
}

/**
 * Creates the port to the log service.
 *
 * @param options Address of the service.
 * @returns The port; it connects on the first call.
 * @example
 * ```ts
 * const log = openHttpLog({ baseUrl: "http://127.0.0.1:7100" });
 * const receipt = await log.append("config", { version: 1 }, { timeoutMs: 1000 });
 * ```
 */
export function openHttpLog(options: HttpLogOptions): LogPort {
  return new HttpLog(new URL(options.baseUrl).host);
}

class HttpLog implements LogPort {
  readonly #address: Address;
  readonly #connections = new http.HttpConnections({
    connectionsPerAddress: CONNECTIONS,
  });

  constructor(address: Address) {
    this.#address = address;
  }

  async append(
    stream: string,
    value: unknown,
    options: AppendOptions,
  ): Promise<Result<AppendReceipt, PortError>> {
    const result = await this.#connections.send(this.#address, {
      method: "POST",
      path: buildPath(stream),
      body: JSON.stringify(value),
      timeoutMs: options.timeoutMs,
    });
    return http.checkJson(result, receiptSchema);
  }

  async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, PortError>> {
    const { from, limit, waitMs, timeoutMs } = options;
    const result = await this.#connections.send(this.#address, {
      method: "GET",
      path: `${buildPath(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      timeoutMs,
    });
    return http.checkJson(result, pageSchema);
  }

  close(): Promise<void> {
    return this.#connections.close();
  }
}

function buildPath(stream: string): string {
  return `/v1/streams/${encodeURIComponent(stream)}/records`;
}
