/**
 * Small HTTP servers of the gateway, for readiness and metrics.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { createServer } from "node:http";

/** A plain text response. */
export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** A server that can be closed. */
export interface InternalServer {
  close(): void;
}

const NOT_FOUND: TextResponse = { status: 404, text: "Not found\n" };

/**
 * Opens an HTTP server that responds with plain text.
 *
 * Uses only node:http. The adapter of a web framework loads the built-in fetch, which
 * takes longer than the rest of the startup. A VM would be ready later after a power
 * failure.
 *
 * @param address Address to listen on.
 * @param pages Functions that build the response, by path.
 */
export function openInternalServer(
  address: Address,
  pages: Readonly<Record<string, () => TextResponse>>,
): Promise<InternalServer> {
  const server = createServer((request, response) => {
    const path = request.url?.split("?", 1)[0] ?? "";
    const buildResponse = request.method === "GET" && Object.hasOwn(pages, path)
      ? pages[path]
      : undefined;
    const { status, text } = buildResponse?.() ?? NOT_FOUND;
    response.writeHead(status, { "content-type": "text/plain; charset=UTF-8" });
    response.end(text);
  });
  const { host, port } = rpc.parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      server.off("error", reject);
      resolve({ close: () => server.close() });
    });
  });
}
