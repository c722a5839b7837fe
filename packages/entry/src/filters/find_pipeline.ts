/**
 * Filter that finds the requested pipeline and validates the body.
 *
 * @module
 */
import * as z from "zod";
import { createRefusal, type RequestAnswer } from "../answer.ts";
import type { Filter, RequestBody } from "../context.ts";
import { Err, Ok, type Result } from "ts-results-es";

/** Upper limit of `size`; a larger one is a mistake of the caller. */
const MAX_SIZE = 1_000;

const BODY_SCHEMA = z.strictObject({
  input: z.unknown().refine((input) => input !== undefined, "expected a value"),
  size: z.number().positive().max(MAX_SIZE).default(1),
  prefix: z.string().optional(),
});

/** Sets `pipeline`, `isAtMostOnce` and `body`. */
export const findPipeline: Filter = async (context, next) => {
  const name = context.incoming.pipeline;
  const pipeline = context.site.pipelines.get(name);
  if (!pipeline) {
    const message = `Cannot find pipeline "${name}" at this site`;
    return createRefusal("UNKNOWN_PIPELINE", message);
  }
  const body = parseBody(context.incoming.bodyText);
  if (body.isErr()) return body.error;
  context.pipeline = pipeline;
  context.isAtMostOnce = pipeline.stages.some((stage) => !stage.repeatable);
  context.body = body.value;
  return await next();
};

function parseBody(text: string): Result<RequestBody, RequestAnswer> {
  const value = parseJson(text);
  if (value.isErr()) return value;
  const checked = BODY_SCHEMA.safeParse(value.value);
  if (checked.success) return Ok(checked.data as RequestBody);
  const issues = checked.error.issues.map(formatIssue).join("; ");
  return Err(
    createRefusal("INVALID_REQUEST", `Invalid body: ${issues}`),
  );
}

function parseJson(text: string): Result<unknown, RequestAnswer> {
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    const message = `Cannot parse the body as JSON: ${cause}`;
    return Err(createRefusal("INVALID_JSON", message));
  }
}

function formatIssue(issue: z.core.$ZodIssue): string {
  const path = ["$", ...issue.path.map(String)].join(".");
  return `${path}: ${issue.message}`;
}
