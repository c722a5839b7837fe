/**
 * Request and answer helpers that all fakes share.
 *
 * @module
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import { setTimeout as sleep } from "node:timers/promises";
import type { z } from "zod";

/** Limit against faulty callers; valid requests are JSON of a few kilobytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Body of an answer to a request that had no effect. */
export interface Refusal {
  readonly refused: true;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Builds the body of a refusal. */
export function buildRefusal(reason: string, retryAfterMs?: number): Refusal {
  return retryAfterMs === undefined
    ? { refused: true, reason }
    : { refused: true, reason, retryAfterMs };
}

/** Waits without keeping the process alive. */
export async function waitMs(ms: number): Promise<void> {
  if (ms > 0) await sleep(ms, undefined, { ref: false });
}

/** Closes the connection instead of answering. */
export function dropAnswer(context: Context): Response {
  const { incoming } = context.env as HttpBindings;
  incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Reads a JSON body; answers with status 400 if it does not match the schema. */
export async function readBody<T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<T | Response> {
  const value = await context.req.json().catch(() => undefined);
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  return context.json(buildRefusal(String(parsed.error)), 400);
}
