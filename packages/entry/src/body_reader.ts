/**
 * Reads a caller's body within bounds of size and time.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";

/** Bounds of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** Why a body was not read. */
export type BodyFault = "too_large" | "too_slow" | "vanished";

/**
 * Reads a whole body.
 *
 * Guards memory and patience against callers that send too much, too slowly or
 * vanish half-way: nothing has run by then, so a refusal is true.
 *
 * @param message The request as Node.js gives it.
 * @param limits Bounds of size and time.
 * @returns The text, or why it was not read.
 */
export function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<string, BodyFault>> {
  const announced = Number(message.headers["content-length"] ?? 0);
  if (announced > limits.maxBytes) return Promise.resolve(Err("too_large"));
  return new Promise((resolve) => collectBody(message, limits, resolve));
}

function collectBody(
  message: IncomingMessage,
  limits: BodyLimits,
  resolve: (result: Result<string, BodyFault>) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isDone = false;
  const timer = setTimeout(() => finish("too_slow"), limits.timeoutMs);

  function finish(fault?: BodyFault): void {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    message.off("data", addChunk);
    // An `Err` records a stack trace, so none is built for what came well.
    if (fault) resolve(Err(fault));
    else resolve(Ok(formatChunks(chunks)));
  }

  function addChunk(chunk: Buffer): void {
    size += chunk.length;
    if (size > limits.maxBytes) return finish("too_large");
    chunks.push(chunk);
  }

  message.on("data", addChunk);
  message.once("end", () => finish());
  message.once("error", () => finish("vanished"));
  message.once("close", () => finish("vanished"));
}

/** Most bodies come in one chunk. */
function formatChunks(chunks: readonly Buffer[]): string {
  const [only] = chunks;
  if (only && chunks.length === 1) return only.toString("utf8");
  return Buffer.concat(chunks).toString("utf8");
}
