/**
 * Parsing of JSON responses and refusals.
 *
 * A status alone never proves that nothing ran, because a proxy or a crashed
 * handler may have sent it. Only a body with `"refused": true` proves it.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import type { PortError } from "../error.ts";
import type { HttpResponse, HttpResult } from "./exchange.ts";

const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

const refusalSchema = z.object({
  refused: z.literal(true),
  reason: z.string(),
  retryAfterMs: z.number().nonnegative().optional(),
});

/**
 * Parses the JSON of a successful response and maps any other to an error.
 *
 * @param result The exchange's result.
 * @returns The parsed JSON, not yet validated.
 * @example
 * ```ts
 * const parsed = parseJson(await connections.send(address, request));
 * ```
 */
export function parseJson(result: HttpResult): Result<unknown, PortError> {
  if (result.isErr()) return result;
  const response = result.value;
  if (response.status < 200 || response.status > 299) {
    return Err(buildStatusError(response));
  }
  try {
    return Ok(JSON.parse(response.text));
  } catch (error) {
    return Err(buildBadAnswerError(`Answer is not JSON: ${error}`));
  }
}

/**
 * Parses the JSON of a successful response and validates it.
 *
 * @param result The exchange's result.
 * @param schema Schema of the response in the protocol.
 * @returns The validated value.
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
    const parsed = schema.safeParse(value);
    if (parsed.success) return Ok(parsed.data);
    return Err(
      buildBadAnswerError(
        `Answer does not match the protocol: ${parsed.error}`,
      ),
    );
  });
}

/** Maps a response with an error status to the error that it proves. */
export function buildStatusError(response: HttpResponse): PortError {
  const refusal = parseRefusal(response.text);
  if (!refusal) {
    const message = `Status ${response.status}: ${response.text}`;
    if (response.status < SERVER_ERROR) return buildBadAnswerError(message);
    return { kind: "answer_lost", message };
  }
  const kind = response.status === TOO_MANY_REQUESTS
    ? "rate_limited"
    : "refused";
  const { reason: message, retryAfterMs } = refusal;
  return retryAfterMs === undefined
    ? { kind, message }
    : { kind, message, retryAfterMs };
}

/** Builds the error for a response that violates the protocol. */
export function buildBadAnswerError(message: string): PortError {
  return { kind: "bad_answer", message };
}

function parseRefusal(text: string): z.infer<typeof refusalSchema> | undefined {
  try {
    return refusalSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
