/**
 * Ends a response so that its caller sees that it is incomplete.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the connection of an incomplete response.
 *
 * A response that has neither a length nor chunks, as callers of HTTP/1.0 get it, is
 * complete when its connection ends in order; only a reset shows that it isn't.
 */
export function closeIncomplete(response: ServerResponse): void {
  const { socket, headersSent, chunkedEncoding } = response;
  const isFramed = chunkedEncoding || response.hasHeader("content-length");
  if (headersSent && !isFramed) socket?.resetAndDestroy();
  response.destroy();
}
