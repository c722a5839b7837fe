/**
 * Refusals that speak of a key.
 *
 * @module
 */
import { createRefusal, type RequestAnswer } from "./answer.ts";
import type { RequestContext } from "./context.ts";

/** What is waited for is under way, so a repeat may come back soon. */
const RETRY_AFTER_MS = 1_000;
const UNRUN = { attempt: "not run" } as const;
const UNRUN_COME_BACK = { ...UNRUN, retryAfterMs: RETRY_AFTER_MS } as const;

/** Another attempt has the key at this moment, or may have it. */
export function refuseHeld(message: string): RequestAnswer {
  return createRefusal("HELD_ELSEWHERE", message, UNRUN_COME_BACK);
}

/** Another attempt under the key is running. */
export function refuseRunning(): RequestAnswer {
  return refuseHeld("Another attempt under this key is running");
}

/** An earlier attempt was sent, and nobody knows what became of it. */
export function refuseUnknown(context: RequestContext): RequestAnswer {
  const message = `The outcome under ${nameKey(context)} is not known`;
  return createRefusal("OUTCOME_UNKNOWN", message, UNRUN);
}

/** The key came with another body. */
export function refuseReuse(context: RequestContext): RequestAnswer {
  const message = `Cannot use ${nameKey(context)} for another body`;
  return createRefusal("KEY_REUSED", message);
}

/** The key is older than what the log, or the mint, is sure to cover. */
export function refuseExpired(context: RequestContext): RequestAnswer {
  const message = `Cannot run ${nameKey(context)}: older than the kept window`;
  return createRefusal("KEY_EXPIRED", message, UNRUN);
}

/** Completed earlier, and nobody has the answer any more. */
export function refuseNotKept(context: RequestContext): RequestAnswer {
  const message = `Completed earlier under ${
    nameKey(context)
  }; the answer is gone`;
  return createRefusal("ANSWER_NOT_KEPT", message, UNRUN);
}

/** The holder of the key is gone, and left no outcome. */
export function refuseHolderGone(context: RequestContext): RequestAnswer {
  const message = `The holder of ${
    nameKey(context)
  } is gone without an outcome`;
  return createRefusal("HOLDER_GONE", message, UNRUN);
}

/** The key was minted by this entry, but for another customer. */
export function refuseForeign(context: RequestContext): RequestAnswer {
  const message = `Cannot use ${nameKey(context)}: minted for another customer`;
  return createRefusal("KEY_INVALID", message);
}

/** The customer has too many minted keys in use at this entry. */
export function refuseFull(retryAfterMs: number): RequestAnswer {
  const message = "The customer has too many minted keys in use";
  return createRefusal("CUSTOMER_LIMIT", message, { retryAfterMs });
}

/** The minting entry has stopped; the key never ran and never will. */
export function refuseClosed(context: RequestContext): RequestAnswer {
  context.isKeySettled = true;
  const message = `Cannot run ${nameKey(context)}: closed unused`;
  return createRefusal("KEY_CLOSED", message);
}

/** The minting entry can't be reached, and nobody knows of the key. */
export function refuseMinterGone(context: RequestContext): RequestAnswer {
  const message = `The entry that minted ${nameKey(context)} is out of reach`;
  return createRefusal("MINTER_GONE", message, UNRUN_COME_BACK);
}

/** The minting entry has taken the request and has not answered. */
export function refuseUnanswered(): RequestAnswer {
  const message =
    "The entry that minted the key took the request and fell silent";
  return createRefusal("HELD_ELSEWHERE", message, {
    attempt: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function nameKey({ keyId }: RequestContext): string {
  return `key "${keyId?.key ?? ""}"`;
}
