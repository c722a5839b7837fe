/**
 * Small servers of the system's own, for readiness and metrics.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { createServer } from "node:http";

/** A text answer. */
export interface OwnAnswer {
  readonly status: number;
  readonly text: string;
}

/** A server that can be closed. */
export interface OwnServer {
  close(): void;
}

const NOT_FOUND: OwnAnswer = { status: 404, text: "Not found\n" };

/**
 * Listens at an address and answers some paths with text.
 *
 * The runtime's server alone: a framework's adapter loads the runtime's own fetch,
 * which takes longer than the rest of a start, and a VM whose power is back is
 * late by that.
 *
 * @param address Where to listen.
 * @param pages What to answer, by path.
 */
export function openOwnServer(
  address: Address,
  pages: Readonly<Record<string, () => OwnAnswer>>,
): Promise<OwnServer> {
  const server = createServer((request, response) => {
    const path = request.url?.split("?", 1)[0] ?? "";
    const getAnswer = request.method === "GET" && Object.hasOwn(pages, path)
      ? pages[path]
      : undefined;
    const { status, text } = getAnswer?.() ?? NOT_FOUND;
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
