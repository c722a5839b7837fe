/**
 * Parses incoming calls to a fake endpoint.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { MAX_BODY_BYTES } from "./http.ts";
import { buildDigest, type RunRequest } from "./run.ts";

const OPERATIONS_PATH = "/v1/operations/";
/** Path under which streams are resumed. */
export const RUNS_PATH = "/v1/runs/";

/** Whether calls are posted to this path. */
export function isCallPath(url: string): boolean {
  return url === "/v1/run" || url.startsWith(OPERATIONS_PATH);
}

/** Returns the call id in the path of a resume. */
export function getCallId(pathname: string): string {
  return decodeURIComponent(pathname.slice(RUNS_PATH.length));
}

/** Reads a body; drops the connection if it exceeds `MAX_BODY_BYTES`. */
export function readText(
  incoming: IncomingMessage,
  handle: (text: string) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) incoming.destroy();
    chunks.push(chunk);
  });
  incoming.on("end", () => handle(Buffer.concat(chunks).toString()));
}

/** Parses a call to an engine or a plain service; undefined if malformed. */
export function parseRequest(
  url: string,
  text: string,
  incoming: IncomingMessage,
): RunRequest | undefined {
  try {
    const body = JSON.parse(text);
    const key = incoming.headers["idempotency-key"] as string | undefined;
    return url === "/v1/run"
      ? buildEngineRequest(body, key)
      : buildOperationRequest({ url, text, body, key, incoming });
  } catch {
    return undefined;
  }
}

function buildEngineRequest(
  body: Record<string, unknown>,
  key: string | undefined,
): RunRequest | undefined {
  const { callId, priority = 0, stream = false, input } = body;
  if (typeof callId !== "string") return undefined;
  return {
    callId,
    key,
    operation: "",
    priority: Number(priority),
    stream: stream === true,
    input,
    digest: buildDigest(JSON.stringify(input) ?? ""),
  };
}

function buildOperationRequest(call: {
  readonly url: string;
  readonly text: string;
  readonly body: unknown;
  readonly key: string | undefined;
  readonly incoming: IncomingMessage;
}): RunRequest {
  const callId = call.incoming.headers["call-id"] as string | undefined;
  return {
    callId: callId ?? randomUUID(),
    key: call.key,
    operation: decodeURIComponent(call.url.slice(OPERATIONS_PATH.length)),
    priority: 0,
    stream: false,
    input: call.body,
    digest: buildDigest(call.text),
  };
}
