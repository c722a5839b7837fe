/**
 * Small servers of the system's own, for readiness and metrics.
 *
 * @module
 */
import { serve, type ServerType } from "@hono/node-server";
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { Hono } from "hono";

/** A text answer. */
export interface OwnAnswer {
  readonly status: number;
  readonly text: string;
}

/** A server that can be closed. */
export interface OwnServer {
  close(): void;
}

/**
 * Listens at an address and answers some paths with text.
 *
 * @param address Where to listen.
 * @param pages What to answer, by path.
 */
export function openOwnServer(
  address: Address,
  pages: Readonly<Record<string, () => OwnAnswer>>,
): Promise<OwnServer> {
  const app = new Hono();
  for (const [path, getAnswer] of Object.entries(pages)) {
    app.get(path, (context) => {
      const answer = getAnswer();
      return context.text(answer.text, answer.status as 200);
    });
  }
  const { host, port } = rpc.parseAddress(address);
  return new Promise((resolve, reject) => {
    const server: ServerType = serve(
      { fetch: app.fetch, hostname: host, port },
      () => resolve({ close: () => server.close() }),
    );
    server.once("error", reject);
  });
}
