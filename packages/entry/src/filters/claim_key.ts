/**
 * Filter that lets only one attempt under a key dispatch an at-most-once stage.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import { match } from "ts-pattern";
import { createRefusal, type RequestAnswer } from "../answer.ts";
import type { Claimant } from "../claimant.ts";
import type { Filter, RequestContext } from "../context.ts";
import { waitWithTimeout } from "../key_registry.ts";
import type { HolderLookup } from "../holder_lookup.ts";
import { refuseKeyExpired } from "../key_refusals.ts";

/** A short delay before a retry: the call may end at any moment. */
const DEADLINE_RETRY_MS = 1_000;

/** Dependencies of the filter. */
export interface ClaimKeyOptions {
  /** Creates the claimant for a request with a UUIDv7 key. */
  readonly openClaimant: (context: RequestContext) => Claimant;
  /** Settles a claim through the log, waiting up to `boundMs`. */
  readonly claim: (
    record: claims.ClaimRecord,
    boundMs: number,
  ) => Promise<rpc.ClaimVerdict>;
  /** Runs a request under a minted key, locally or at the entry that minted it. */
  readonly runMinted: (
    context: RequestContext,
    key: Extract<claims.ParsedKey, { kind: "minted" }>,
    next: () => Promise<RequestAnswer>,
  ) => Promise<RequestAnswer>;
  readonly lookup: HolderLookup;
  readonly readNow: () => number;
}

/**
 * Creates the filter. Requests without an at-most-once stage pass.
 *
 * @param options Claims, minted keys and holder lookup.
 * @returns The filter.
 */
export function createClaimKey(options: ClaimKeyOptions): Filter {
  return async (context, next) => {
    if (!context.isAtMostOnce) return await next();
    const parsed = claims.parseKey(context.keyId?.key ?? "");
    if (parsed.isErr()) return createRefusal("KEY_INVALID", parsed.error);
    if (parsed.value.kind === "minted") {
      return await options.runMinted(context, parsed.value, next);
    }
    return await runWithClaim(options, context, next);
  };
}

async function runWithClaim(
  options: ClaimKeyOptions,
  context: RequestContext,
  next: () => Promise<RequestAnswer>,
): Promise<RequestAnswer> {
  const claimant = options.openClaimant(context);
  const boundMs = context.deadlineAt - options.readNow();
  const verdict = await options.claim(claimant.claimRecord, boundMs);
  claimant.applyVerdict(verdict);
  return await match(verdict)
    .with(
      { kind: "won" },
      () => runAsHolder(context, { claimant, next, readNow: options.readNow }),
    )
    .with(
      { kind: "lost" },
      ({ status }) => options.lookup.answerLostClaim(context, status),
    )
    .with({ kind: "expired" }, () => refuseKeyExpired(context))
    .with({ kind: "unsettled" }, ({ retryAfterMs }) => {
      const message = "Cannot settle the claim: the log is unreachable";
      const details = { attempt: "not run", retryAfterMs } as const;
      return createRefusal("CLAIM_UNAVAILABLE", message, details);
    })
    .exhaustive();
}

/** Options of {@link runAsHolder}. */
export interface RunAsHolderOptions {
  /** The claimant that holds the key. */
  readonly claimant: Claimant;
  /** Calls the rest of the filter chain. */
  readonly next: () => Promise<RequestAnswer>;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
}

/**
 * Runs a request whose key this entry holds, and closes the attempt.
 *
 * At the deadline of a sent call the caller gets "unknown" and may retry; the call
 * continues, and a retry gets its answer.
 *
 * @param context The request.
 * @param options Its claimant and the rest of the chain.
 * @returns An answer that never says "not run" if the call may have run.
 */
export async function runAsHolder(
  context: RequestContext,
  options: RunAsHolderOptions,
): Promise<RequestAnswer> {
  const { claimant, next, readNow } = options;
  context.claimant = claimant;
  // Every earlier claim of the key was released, so nothing has run under it.
  context.isKeySettled = true;
  const boundMs = context.deadlineAt - readNow();
  const answer = await waitWithTimeout(next(), boundMs) ??
    refuseAtDeadline(claimant);
  claimant.giveUp("deadline");
  if (answer.kind === "completed" || !claimant.mayHaveRun) return answer;
  if (answer.failure.outcome !== "not run") return answer;
  // Whatever the reason of the refusal, the call was dispatched and is not proved
  // to have never run, so "not run" would be wrong.
  return createRefusal("OUTCOME_UNKNOWN", answer.failure.message);
}

function refuseAtDeadline(claimant: Claimant): RequestAnswer {
  const message = "Deadline passed before the request completed";
  const options = { retryAfterMs: DEADLINE_RETRY_MS };
  return claimant.mayHaveRun
    ? createRefusal("DEADLINE_EXCEEDED", message, options)
    : createRefusal("DEADLINE_OUT_OF_REACH", message, options);
}
