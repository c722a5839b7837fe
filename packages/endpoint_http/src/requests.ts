/**
 * Requests of the endpoint protocols.
 *
 * @module
 */
import type { StageCall } from "@sardinestep/ports";
import type * as http from "@sardinestep/ports/http";
import { ENDPOINT_ROLE } from "@sardinestep/types";

/** The parts of a request that depend only on the call. */
export type RequestHead = Pick<
  http.HttpRequest,
  "method" | "path" | "headers" | "body"
>;

/** Builds `POST /v1/run` for engines or `POST /v1/operations/…` for services. */
export function buildRunRequest(call: StageCall): RequestHead {
  return call.role === ENDPOINT_ROLE.service
    ? buildOperationRequest(call)
    : buildEngineRequest(call);
}

function buildEngineRequest(call: StageCall): RequestHead {
  const { callId, priority, input } = call;
  const stream = isStreamed(call);
  return {
    method: "POST",
    path: "/v1/run",
    headers: buildKeyHeader(call),
    body: JSON.stringify({ callId, priority, stream, input }),
  };
}

function buildOperationRequest(call: StageCall): RequestHead {
  const headers = { "call-id": call.callId, ...buildKeyHeader(call) };
  return {
    method: "POST",
    path: `/v1/operations/${encodeURIComponent(call.operation)}`,
    headers,
    body: JSON.stringify(call.input ?? null),
  };
}

function buildKeyHeader(call: StageCall): Record<string, string> {
  return call.key === undefined ? {} : { "idempotency-key": call.key };
}

/** Returns whether the answer is streamed in parts. */
export function isStreamed(call: StageCall): boolean {
  return call.role === ENDPOINT_ROLE.generator;
}
