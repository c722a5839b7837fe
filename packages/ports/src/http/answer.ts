/**
 * Reading of JSON answers and refusals.
 *
 * A status alone never proves that nothing ran: a proxy or a crashed handler
 * may have written it. Only a body that says `"refused": true` does.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import type { PortError } from "../error.ts";
import type { HttpAnswer, HttpResult } from "./exchange.ts";

const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

const refusalSchema = z.object({
  refused: z.literal(true),
  reason: z.string(),
  retryAfterMs: z.number().nonnegative().optional(),
});

/**
 * Parses the JSON of a successful answer; maps any other to an error.
 *
 * @param result The exchange's result.
 * @returns Parsed JSON of unknown shape.
 * @example
 * ```ts
 * const parsed = parseJson(await connections.send(address, request));
 * ```
 */
export function parseJson(result: HttpResult): Result<unknown, PortError> {
  if (result.isErr()) return result;
  const answer = result.value;
  if (answer.status < 200 || answer.status > 299) {
    return Err(buildStatusError(answer));
  }
  try {
    return Ok(JSON.parse(answer.text));
  } catch (error) {
    return Err(buildBadAnswer(`Answer is not JSON: ${error}`));
  }
}

/**
 * Parses the JSON of a successful answer and checks its shape.
 *
 * @param result The exchange's result.
 * @param schema The shape that the protocol promises.
 * @returns The checked value.
 * @example
 * ```ts
 * checkJson(await connections.send(address, request), receiptSchema);
 * ```
 */
export function checkJson<T>(
  result: HttpResult,
  schema: z.ZodType<T>,
): Result<T, PortError> {
  return parseJson(result).andThen((value) => {
    const checked = schema.safeParse(value);
    if (checked.success) return Ok(checked.data);
    return Err(buildBadAnswer(`Answer has another shape: ${checked.error}`));
  });
}

/** Maps an answer with an error status to what it proves. */
export function buildStatusError(answer: HttpAnswer): PortError {
  const refusal = parseRefusal(answer.text);
  if (!refusal) {
    const message = `Status ${answer.status}: ${answer.text}`;
    if (answer.status < SERVER_ERROR) return buildBadAnswer(message);
    return { kind: "answer_lost", message };
  }
  const kind = answer.status === TOO_MANY_REQUESTS ? "rate_limited" : "refused";
  const { reason: message, retryAfterMs } = refusal;
  return retryAfterMs === undefined
    ? { kind, message }
    : { kind, message, retryAfterMs };
}

/** Builds the error for an answer that does not follow the protocol. */
export function buildBadAnswer(message: string): PortError {
  return { kind: "bad_answer", message };
}

function parseRefusal(text: string): z.infer<typeof refusalSchema> | undefined {
  try {
    return refusalSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
