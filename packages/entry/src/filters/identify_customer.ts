/**
 * Filter: who sends the request.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { createRefusal, type RequestAnswer } from "../answer.ts";
import type { Filter } from "../context.ts";

const BEARER_PREFIX = "Bearer ";

/**
 * Sets `customer`. Refuses a credential that is missing or wrong, without
 * telling which: a caller must not learn which customers exist.
 */
export const identifyCustomer: Filter = (context, next) => {
  const { customer, authorization, isForwarded } = context.incoming;
  const spec = customer && context.site.customers.get(customer);
  const isKnown = spec &&
    (isForwarded || hasCredential(authorization, spec.credentialSha256));
  if (!isKnown) return Promise.resolve(refuseCredential());
  context.customer = spec.customerId;
  return next();
};

/**
 * Tells whether a credential is the one whose hash is configured.
 *
 * @param authorization Value of the Authorization header.
 * @param expectedSha256 The hash in hexadecimal.
 * @returns Whether it is right, in time that tells nothing of the hash.
 */
export function hasCredential(
  authorization: string | undefined,
  expectedSha256: string,
): boolean {
  if (!authorization?.startsWith(BEARER_PREFIX)) return false;
  const credential = authorization.slice(BEARER_PREFIX.length);
  const actual = createHash("sha256").update(credential).digest();
  return timingSafeEqual(actual, Buffer.from(expectedSha256, "hex"));
}

/** Refuses a credential without telling which customers exist. */
export function refuseCredential(): RequestAnswer {
  return createRefusal(
    "CREDENTIAL_INVALID",
    "Cannot identify the customer: check X-Customer and the bearer credential",
  );
}
