/**
 * The endpoint port over HTTP.
 *
 * @module
 */
import type {
  CallOptions,
  EndpointPort,
  EngineOrder,
  PortError,
  StageAnswer,
  StageCall,
} from "@sardinestep/ports";
import * as http from "@sardinestep/ports/http";
import {
  type Address,
  ENDPOINT_ROLE,
  ENDPOINT_STATE,
  type EndpointId,
  type LoadReport,
} from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { createCounters, type EndpointCounters } from "./counters.ts";
import { buildRunRequest, isStreamed } from "./requests.ts";
import { parseAnswer } from "./stream_assembly.ts";
import { StreamCall } from "./stream_call.ts";

/** A cancel is only a favour to the endpoint; nobody waits for it. */
/** A report within a domain takes a millisecond or two; longer is a dead path. */
const PROOF_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 2_000;

const reportSchema = z.object({
  endpointId: z.string(),
  instance: z.string(),
  state: z.enum(ENDPOINT_STATE),
  ageMs: z.number().nonnegative(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
});
const orderSchema = z.object({
  wanted: z.object({
    model: z.string(),
    version: z.string(),
    role: z.enum(ENDPOINT_ROLE),
  }),
  fencing: z.number().int().nonnegative(),
});

/** Bounds of connections and news of broken ones. */
export interface HttpEndpointsOptions extends http.HttpConnectionsOptions {
  /** Gives the local clock, by which load reports are dated. */
  readonly now?: () => number;
}

/** The endpoint port with the counts of what it met. */
export interface HttpEndpointPort extends EndpointPort {
  getCounters(): Readonly<EndpointCounters>;
}

/**
 * Opens the port to all endpoints.
 *
 * @param options Bounds, and whom to tell when an endpoint's connections broke.
 * @returns The port; connections are opened by its calls.
 * @example
 * ```ts
 * const endpoints = openHttpEndpoints({ onDisconnect: (address) => probe(address) });
 * const answer = await endpoints.call(stageCall, { onPart: forward });
 * ```
 */
export function openHttpEndpoints(
  options: HttpEndpointsOptions = {},
): HttpEndpointPort {
  return new HttpEndpoints(options);
}

class HttpEndpoints implements HttpEndpointPort {
  readonly #connections: http.HttpConnections;
  readonly #counters = createCounters();
  readonly #now: () => number;

  constructor(options: HttpEndpointsOptions) {
    this.#connections = new http.HttpConnections(options);
    this.#now = options.now ?? Date.now;
  }

  getCounters(): Readonly<EndpointCounters> {
    return { ...this.#counters };
  }

  async call(
    call: StageCall,
    options: CallOptions = {},
  ): Promise<Result<StageAnswer, PortError>> {
    this.#counters.calls += 1;
    const result = isStreamed(call)
      ? await this.#callStreamed(call, options)
      : await this.#callWhole(call, options);
    if (result.isErr() && result.error.kind === "cancelled") this.#cancel(call);
    return result;
  }

  async readLoad(
    endpointId: EndpointId,
    address: Address,
    timeoutMs: number,
  ): Promise<Result<LoadReport, PortError>> {
    const sentAt = this.#now();
    const request = { method: "GET", path: "/v1/load", timeoutMs } as const;
    const result = await this.#connections.send(address, request);
    return http.checkJson(result, reportSchema).andThen((report) => {
      if (report.endpointId !== endpointId) {
        return Err(buildForeignReport(endpointId, report.endpointId));
      }
      const { ageMs, ...facts } = report;
      return Ok({ ...facts, measuredAt: sentAt - ageMs });
    });
  }

  async sendOrder(
    address: Address,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<Result<EngineOrder, PortError>> {
    const result = await this.#connections.send(address, {
      method: "POST",
      path: "/v1/orders",
      body: JSON.stringify(order),
      timeoutMs,
    });
    return http.checkJson(result, orderSchema);
  }

  close(): Promise<void> {
    return this.#connections.close();
  }

  #callStreamed(
    call: StageCall,
    options: CallOptions,
  ): Promise<Result<StageAnswer, PortError>> {
    const parts = { connections: this.#connections, counters: this.#counters };
    return new StreamCall(call, { ...options, ...parts }).run();
  }

  async #callWhole(
    call: StageCall,
    options: CallOptions,
  ): Promise<Result<StageAnswer, PortError>> {
    const request: http.HttpRequest = {
      ...buildRunRequest(call),
      timeoutMs: call.progressTimeoutMs,
      timeoutIsProgress: true,
      signal: options.signal,
    };
    const result = call.freshConnection
      ? await this.#connections.sendFresh(
        call.address,
        request,
        buildRunProof(call),
      )
      : await this.#connections.send(call.address, request);
    return http.parseJson(result).andThen((value) =>
      this.#checkAnswer(call, value)
    );
  }

  #checkAnswer(
    call: StageCall,
    value: unknown,
  ): Result<StageAnswer, PortError> {
    const answer = parseAnswer(Object(value));
    if (!answer) {
      return Err(http.buildBadAnswer("Answer has another shape"));
    }
    // An answer of another call would hand one caller's result to another.
    if (answer.callId !== call.callId) {
      this.#counters.foreignParts += 1;
      return Err(http.buildBadAnswer(`Answer is of call "${answer.callId}"`));
    }
    return Ok(answer);
  }

  /** Plain services have no cancel: what they began they finish. */
  #cancel(call: StageCall): void {
    this.#counters.cancels += 1;
    if (call.role === ENDPOINT_ROLE.service) return;
    void this.#connections.send(call.address, {
      method: "DELETE",
      path: `/v1/runs/${encodeURIComponent(call.callId)}`,
      timeoutMs: CANCEL_TIMEOUT_MS,
    });
  }
}

function buildForeignReport(wanted: EndpointId, found: EndpointId): PortError {
  return http.buildBadAnswer(
    `Report is of endpoint "${found}", not of "${wanted}"`,
  );
}

/**
 * Guards a cold endpoint against calls that are meant for its run before.
 *
 * The failure: a service restarts while no connection is open that could break;
 * calls with connections of their own go on as to a warm one. The first request on
 * the new connection asks which run answers; if it ends afterwards, the
 * connection breaks with it, so the call can't reach yet another run.
 */
function buildRunProof(
  { address, instance }: StageCall,
): http.ProveConnection | undefined {
  if (instance === undefined) return undefined;
  return async (send) => {
    const asked = await send({
      method: "GET",
      path: "/v1/load",
      timeoutMs: PROOF_TIMEOUT_MS,
    });
    const report = http.checkJson(asked, reportSchema);
    if (report.isErr()) {
      const message = `No report from "${address}": ${report.error.message}`;
      return { kind: "not_sent", message };
    }
    if (report.value.instance === instance) return undefined;
    return { kind: "not_sent", message: `Another run answers at "${address}"` };
  };
}
