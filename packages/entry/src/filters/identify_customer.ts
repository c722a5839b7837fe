/**
 * Filter that authenticates the customer.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { createRefusal, type RequestAnswer } from "../answer.ts";
import type { Filter } from "../context.ts";

const BEARER_PREFIX = "Bearer ";

/**
 * Sets `customer`. Refuses an unknown customer and a missing or wrong credential
 * alike: a caller must not learn which customers exist.
 */
export const identifyCustomer: Filter = (context, next) => {
  const { customer, authorization, isForwarded } = context.incoming;
  const spec = customer && context.site.customers.get(customer);
  const isAuthenticated = spec &&
    (isForwarded || hasCredential(authorization, spec.credentialSha256));
  if (!isAuthenticated) return Promise.resolve(refuseCredential());
  context.customer = spec.customerId;
  return next();
};

/**
 * Checks a credential against the configured hash.
 *
 * @param authorization Value of the Authorization header.
 * @param expectedSha256 The hash in hexadecimal.
 * @returns Whether it matches; compared in constant time.
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

/** Refuses a credential without revealing whether the customer exists. */
export function refuseCredential(): RequestAnswer {
  return createRefusal(
    "CREDENTIAL_INVALID",
    "Cannot identify the customer: check X-Customer and the bearer credential",
  );
}
