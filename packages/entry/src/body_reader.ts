/**
 * Reads a request body within limits of size and time.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";

/** Limits for reading a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** Reason why a body was not read. */
export type BodyReadError = "too_large" | "too_slow" | "aborted";

/**
 * Reads a whole body.
 *
 * Fails for callers that send too much, too slowly or disconnect half-way, which
 * would hold memory and a connection. Nothing has run by then, so a refusal may
 * say "not run".
 *
 * @param message The incoming request.
 * @param limits Limits of size and time.
 * @returns The text, or the reason why it was not read.
 */
export function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<string, BodyReadError>> {
  const declaredBytes = Number(message.headers["content-length"] ?? 0);
  if (declaredBytes > limits.maxBytes) return Promise.resolve(Err("too_large"));
  return new Promise((resolve) => collectBody(message, limits, resolve));
}

function collectBody(
  message: IncomingMessage,
  limits: BodyLimits,
  resolve: (result: Result<string, BodyReadError>) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isDone = false;
  const timer = setTimeout(() => finish("too_slow"), limits.timeoutMs);

  function finish(error?: BodyReadError): void {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    message.off("data", addChunk);
    // An `Err` captures a stack trace, so it is built only for a failed read.
    if (error) resolve(Err(error));
    else resolve(Ok(formatChunks(chunks)));
  }

  function addChunk(chunk: Buffer): void {
    size += chunk.length;
    if (size > limits.maxBytes) return finish("too_large");
    chunks.push(chunk);
  }

  message.on("data", addChunk);
  message.once("end", () => finish());
  message.once("error", () => finish("aborted"));
  message.once("close", () => finish("aborted"));
}

/** Concatenates chunks; skips the copy for the usual single chunk. */
function formatChunks(chunks: readonly Buffer[]): string {
  const [first] = chunks;
  if (first && chunks.length === 1) return first.toString("utf8");
  return Buffer.concat(chunks).toString("utf8");
}
