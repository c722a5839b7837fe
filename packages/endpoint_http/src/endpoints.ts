/**
 * Implementation of the endpoint port over HTTP.
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

/** A load report within a zone takes 1 to 2 ms; longer means a broken path. */
const RUN_CHECK_TIMEOUT_MS = 500;
/** A cancel only saves the endpoint work; its response is not awaited. */
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

/** Connection limits and callbacks, and the clock. */
export interface HttpEndpointsOptions extends http.HttpConnectionsOptions {
  /** Returns the local time, used to date load reports. */
  readonly now?: () => number;
}

/** The endpoint port with its counters. */
export interface HttpEndpointPort extends EndpointPort {
  getCounters(): Readonly<EndpointCounters>;
}

/**
 * Creates the port to all endpoints.
 *
 * @param options Connection limits, and a callback for broken connections.
 * @returns The port; connections are opened on demand.
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
      : await this.#callUnstreamed(call, options);
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
        return Err(buildReportMismatch(endpointId, report.endpointId));
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
    const shared = { connections: this.#connections, counters: this.#counters };
    return new StreamCall(call, { ...options, ...shared }).run();
  }

  async #callUnstreamed(
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
      ? await this.#connections.sendOverNewConnection(
        call.address,
        request,
        buildRunCheck(call),
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
      return Err(
        http.buildBadAnswerError("Answer does not match the protocol"),
      );
    }
    // Guards against passing one caller's result to another caller.
    if (answer.callId !== call.callId) {
      this.#counters.foreignParts += 1;
      return Err(
        http.buildBadAnswerError(`Answer belongs to call "${answer.callId}"`),
      );
    }
    return Ok(answer);
  }

  /** Plain services have no cancel operation: they finish every call they start. */
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

function buildReportMismatch(
  expected: EndpointId,
  actual: EndpointId,
): PortError {
  return http.buildBadAnswerError(
    `Load report is from endpoint "${actual}", expected "${expected}"`,
  );
}

/**
 * Guards a cold endpoint against calls that are meant for its previous run.
 *
 * If a service restarts while no connection to it is open, no connection breaks,
 * and calls on new connections would continue as if it were warm. The first
 * request on a new connection therefore asks for the current run. If that run ends
 * afterwards, the connection breaks with it, so the call can't reach a later run.
 */
function buildRunCheck(
  { address, instance }: StageCall,
): http.ConnectionCheck | undefined {
  if (instance === undefined) return undefined;
  return async (send) => {
    const response = await send({
      method: "GET",
      path: "/v1/load",
      timeoutMs: RUN_CHECK_TIMEOUT_MS,
    });
    const report = http.checkJson(response, reportSchema);
    if (report.isErr()) {
      const message =
        `No load report from "${address}": ${report.error.message}`;
      return { kind: "not_sent", message };
    }
    if (report.value.instance === instance) return undefined;
    return {
      kind: "not_sent",
      message: `Another run of the endpoint answers at "${address}"`,
    };
  };
}
