/**
 * Filter: the caller's key.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import { createHash } from "node:crypto";
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";

/** Longest key; a UUID has 36 characters, a minted key about 80. */
const MAX_KEY_CHARACTERS = 200;
const PRINTABLE = /^[\x21-\x7e]+$/;

/**
 * Sets `keyId` and `fingerprint`. A request that may not be repeated needs a key
 * whose age is known, as a UUIDv7 or a minted key tells it.
 */
export const matchKey: Filter = async (context, next) => {
  const { key } = context.incoming;
  if (key === undefined) {
    if (!context.isSingle) return await next();
    const name = context.pipeline.pipelineId;
    const message =
      `Cannot run "${name}" without Idempotency-Key: it may not be repeated`;
    return createRefusal("KEY_REQUIRED", message);
  }
  const fault = checkKey(key, context.isSingle);
  if (fault) return createRefusal("KEY_INVALID", fault);
  context.keyId = { customer: context.customer, key };
  context.fingerprint = hashRequest(
    context.pipeline.pipelineId,
    context.incoming.bodyText,
  );
  return await next();
};

function checkKey(key: string, isSingle: boolean): string | undefined {
  if (key.length > MAX_KEY_CHARACTERS || !PRINTABLE.test(key)) {
    return `Cannot use the key: expected ${MAX_KEY_CHARACTERS} printable characters at most`;
  }
  if (!isSingle) return undefined;
  const parsed = claims.parseKey(key);
  return parsed.isOk() ? undefined : parsed.error;
}

function hashRequest(pipeline: string, bodyText: string): string {
  return createHash("sha256").update(`${pipeline}\n${bodyText}`).digest(
    "base64url",
  );
}
