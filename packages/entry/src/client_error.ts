/**
 * Answers malformed HTTP requests with the same JSON body as other refusals.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import { buildHttpAnswer, createRefusal, type HttpAnswer } from "./answer.ts";

/** An error of the Node.js HTTP parser. */
type ParserError = Error & { readonly code?: string };

const HEADERS_TOO_LARGE_STATUS = 431;

/**
 * Answers requests that the Node.js HTTP parser rejects, such as one with headers
 * beyond its limit of 16 KiB. None of them has reached a route, so nothing ran.
 *
 * @param server The HTTP server for callers.
 * @param countRefusal Called with the name of each result code.
 */
export function handleClientErrors(
  server: Server,
  countRefusal: (name: string) => void,
): void {
  server.on("clientError", (error: ParserError, socket: Duplex) => {
    // A refusal can't be sent on a closed connection or after an answer has begun.
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
    const refusal = createRefusal(
      "CALLER_TOO_SLOW",
      "Timed out while receiving the request",
    );
    return buildHttpAnswer("", refusal);
  }
  const refusal = createRefusal(
    "INVALID_REQUEST",
    `Cannot parse the HTTP request: ${message}`,
  );
  const answer = buildHttpAnswer("", refusal);
  const isOverflow = code === "HPE_HEADER_OVERFLOW";
  return isOverflow ? { ...answer, status: HEADERS_TOO_LARGE_STATUS } : answer;
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
