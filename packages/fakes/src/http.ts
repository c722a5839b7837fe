/**
 * Small pieces that all stand-ins answer with.
 *
 * @module
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import { setTimeout as sleep } from "node:timers/promises";
import type { z } from "zod";

/** Requests are JSON of a few kilobytes; this bounds a mistaken one. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** The body of an answer which says that nothing was done. */
export interface Refusal {
  readonly refused: true;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Builds a refusal. */
export function buildRefusal(reason: string, retryAfterMs?: number): Refusal {
  return retryAfterMs === undefined
    ? { refused: true, reason }
    : { refused: true, reason, retryAfterMs };
}

/** Waits without keeping the process alive. */
export async function waitMs(ms: number): Promise<void> {
  if (ms > 0) await sleep(ms, undefined, { ref: false });
}

/** Breaks the connection in place of answering. */
export function dropAnswer(context: Context): Response {
  const { incoming } = context.env as HttpBindings;
  incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Reads a JSON body against a schema; a fault is answered with status 400. */
export async function readBody<T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<T | Response> {
  const value = await context.req.json().catch(() => undefined);
  const checked = schema.safeParse(value);
  if (checked.success) return checked.data;
  return context.json(buildRefusal(String(checked.error)), 400);
}
