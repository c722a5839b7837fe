/**
 * Refusals that concern a key.
 *
 * @module
 */
import { createRefusal, type RequestAnswer } from "./answer.ts";
import type { RequestContext } from "./context.ts";

/** The other attempt is in progress, so a retry soon may get its answer. */
const RETRY_AFTER_MS = 1_000;
const NOT_RUN = { attempt: "not run" } as const;
const NOT_RUN_RETRY = { ...NOT_RUN, retryAfterMs: RETRY_AFTER_MS } as const;

/** Another attempt holds the key at this moment, or may hold it. */
export function refuseHeld(message: string): RequestAnswer {
  return createRefusal("HELD_ELSEWHERE", message, NOT_RUN_RETRY);
}

/** Another attempt under the key is running. */
export function refuseRunning(): RequestAnswer {
  return refuseHeld("Another attempt under this key is running");
}

/** An earlier attempt was sent, and its outcome is unknown. */
export function refuseOutcomeUnknown(context: RequestContext): RequestAnswer {
  const message = `Outcome of ${formatKey(context)} is unknown`;
  return createRefusal("OUTCOME_UNKNOWN", message, NOT_RUN);
}

/** The key was used before with another body. */
export function refuseReuse(context: RequestContext): RequestAnswer {
  const message = `Cannot reuse ${
    formatKey(context)
  } with another request body`;
  return createRefusal("KEY_REUSED", message);
}

/** The key is older than the period that the log, or the mint, is certain to cover. */
export function refuseKeyExpired(context: RequestContext): RequestAnswer {
  const message = `Cannot run ${formatKey(context)}: key has expired`;
  return createRefusal("KEY_EXPIRED", message, NOT_RUN);
}

/** An earlier attempt completed, and its answer is no longer kept. */
export function refuseAnswerNotKept(context: RequestContext): RequestAnswer {
  const message = `Request under ${
    formatKey(context)
  } completed earlier; its answer is no longer kept`;
  return createRefusal("ANSWER_NOT_KEPT", message, NOT_RUN);
}

/** The holder of the key is gone and recorded no outcome. */
export function refuseHolderGone(context: RequestContext): RequestAnswer {
  const message = `Holder of ${
    formatKey(context)
  } stopped without recording an outcome`;
  return createRefusal("HOLDER_GONE", message, NOT_RUN);
}

/** The key was minted by this entry for another customer. */
export function refuseOtherCustomer(context: RequestContext): RequestAnswer {
  const message = `Cannot use ${
    formatKey(context)
  }: it was minted for another customer`;
  return createRefusal("KEY_INVALID", message);
}

/** The customer has too many minted keys in use at this entry. */
export function refuseCustomerLimit(retryAfterMs: number): RequestAnswer {
  const message = "Customer has too many minted keys in use";
  return createRefusal("CUSTOMER_LIMIT", message, { retryAfterMs });
}

/** The minting entry has stopped; the key was never used and never will be. */
export function refuseKeyClosed(context: RequestContext): RequestAnswer {
  context.isKeySettled = true;
  const message = `Cannot run ${formatKey(context)}: it was closed unused`;
  return createRefusal("KEY_CLOSED", message);
}

/** The minting entry can't be reached, and no other source has a status of the key. */
export function refuseMinterGone(context: RequestContext): RequestAnswer {
  const message = `Entry that minted ${formatKey(context)} is unreachable`;
  return createRefusal("MINTER_GONE", message, NOT_RUN_RETRY);
}

/** The request was forwarded to the minting entry, which has not answered. */
export function refuseForwardUnanswered(): RequestAnswer {
  const message =
    "Entry that minted the key was sent the request but did not answer";
  return createRefusal("HELD_ELSEWHERE", message, {
    attempt: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function formatKey({ keyId }: RequestContext): string {
  return `key "${keyId?.key ?? ""}"`;
}
