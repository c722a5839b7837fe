/**
 * Filter that reads and validates the idempotency key.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import { createHash } from "node:crypto";
import { createRefusal } from "../answer.ts";
import type { Filter } from "../context.ts";

/** Maximum key length; a UUID has 36 characters, a minted key about 80. */
const MAX_KEY_CHARACTERS = 200;
const PRINTABLE = /^[\x21-\x7e]+$/;

/**
 * Sets `keyId` and `fingerprint`. An at-most-once request needs a key that carries
 * its creation time: a UUIDv7 or a minted key.
 */
export const readKey: Filter = async (context, next) => {
  const { key } = context.incoming;
  if (key === undefined) {
    if (!context.isAtMostOnce) return await next();
    const name = context.pipeline.pipelineId;
    const message =
      `Pipeline "${name}" requires an Idempotency-Key: it must not run twice`;
    return createRefusal("KEY_REQUIRED", message);
  }
  const fault = findKeyFault(key, context.isAtMostOnce);
  if (fault) return createRefusal("KEY_INVALID", fault);
  context.keyId = { customer: context.customer, key };
  context.fingerprint = hashRequest(
    context.pipeline.pipelineId,
    context.incoming.bodyText,
  );
  return await next();
};

function findKeyFault(key: string, isAtMostOnce: boolean): string | undefined {
  if (key.length > MAX_KEY_CHARACTERS || !PRINTABLE.test(key)) {
    return `Invalid Idempotency-Key: expected 1 to ${MAX_KEY_CHARACTERS} printable ASCII characters`;
  }
  if (!isAtMostOnce) return undefined;
  const parsed = claims.parseKey(key);
  return parsed.isOk() ? undefined : parsed.error;
}

function hashRequest(pipeline: string, bodyText: string): string {
  return createHash("sha256").update(`${pipeline}\n${bodyText}`).digest(
    "base64url",
  );
}
