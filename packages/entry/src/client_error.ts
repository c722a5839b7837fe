/**
 * Refuses what is no HTTP request, with a typed body as every other refusal.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import { buildHttpAnswer, createRefusal, type HttpAnswer } from "./answer.ts";

/** What Node.js's parser says of a request that it gave up. */
type ParserError = Error & { readonly code?: string };

const HEADERS_TOO_LARGE = 431;

/**
 * Answers requests that Node.js's own parser refuses, such as one with headers
 * beyond its bound of 16 KiB. None of them has reached a route, so nothing ran.
 *
 * @param server The callers' server.
 * @param countRefusal Told of the code of each.
 */
export function handleClientErrors(
  server: Server,
  countRefusal: (name: string) => void,
): void {
  server.on("clientError", (error: ParserError, socket: Duplex) => {
    // A connection that is gone, or an answer that has begun, takes no refusal.
    if (error.code === "ECONNRESET" || !socket.writable) {
      return socket.destroy();
    }
    const answer = buildAnswer(error);
    countRefusal(answer.body.name);
    socket.end(formatAnswer(answer));
  });
}

function buildAnswer({ code, message }: ParserError): HttpAnswer {
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    const refusal = createRefusal("CALLER_TOO_SLOW", "Cannot wait longer");
    return buildHttpAnswer("", refusal);
  }
  const refusal = createRefusal(
    "INVALID_REQUEST",
    `Cannot read the request: ${message}`,
  );
  const answer = buildHttpAnswer("", refusal);
  const isOverflow = code === "HPE_HEADER_OVERFLOW";
  return isOverflow ? { ...answer, status: HEADERS_TOO_LARGE } : answer;
}

function formatAnswer({ status, body }: HttpAnswer): string {
  const text = JSON.stringify(body);
  return [
    `HTTP/1.1 ${status} Refused`,
    "Content-Type: application/json",
    `Content-Length: ${Buffer.byteLength(text)}`,
    "Connection: close",
    "",
    text,
  ].join("\r\n");
}
