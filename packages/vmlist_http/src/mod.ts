/**
 * HTTP adapter for the VM list, which may lag.
 *
 * @module
 */
import type { PortError, VmList, VmListPort } from "@sardinestep/ports";
import * as http from "@sardinestep/ports/http";
import { ENDPOINT_ROLE } from "@sardinestep/types";
import type { Result } from "ts-results-es";
import { z } from "zod";

const CONNECTIONS = 2;

const stateSchema = z.enum(["live", "leaving"]);
const vmSchema = z.object({
  vmId: z.string(),
  zone: z.string(),
  site: z.string(),
  entryRpc: z.string(),
  controlRpc: z.string(),
  state: stateSchema,
});
const endpointSchema = z.object({
  endpointId: z.string(),
  service: z.string(),
  role: z.enum(ENDPOINT_ROLE),
  zone: z.string(),
  address: z.string(),
  coldConcurrency: z.number().int().positive(),
  warmConcurrency: z.number().int().positive(),
  state: stateSchema,
});
const listSchema = z.object({
  asOf: z.number(),
  vms: z.array(vmSchema),
  endpoints: z.array(endpointSchema),
});

/** Address of the VM list. */
export interface HttpVmListOptions {
  /** URL of the list, for example `http://127.0.0.1:7200/v1/vms`. */
  readonly url: string;
}

/**
 * Creates the port to the VM list.
 *
 * @param options URL of the list; the default path is `/v1/vms`.
 * @returns The port; it connects on the first call.
 * @example
 * ```ts
 * const list = openHttpVmList({ url: "http://127.0.0.1:7200" });
 * ```
 */
export function openHttpVmList(options: HttpVmListOptions): VmListPort {
  const url = new URL(options.url);
  const path = url.pathname === "/" ? "/v1/vms" : url.pathname;
  const connections = new http.HttpConnections({
    connectionsPerAddress: CONNECTIONS,
  });
  async function read(timeoutMs: number): Promise<Result<VmList, PortError>> {
    const result = await connections.send(url.host, {
      method: "GET",
      path,
      timeoutMs,
    });
    return http.checkJson(result, listSchema);
  }
  return { read, close: () => connections.close() };
}
