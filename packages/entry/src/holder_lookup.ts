/**
 * Answers a request whose key another attempt holds.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId, MemberFacts } from "@sardinestep/types";
import { match } from "ts-pattern";
import { createReplay, type RequestAnswer } from "./answer.ts";
import type { RequestContext } from "./context.ts";
import {
  refuseAnswerNotKept,
  refuseHeld,
  refuseHolderGone,
  refuseKeyExpired,
  refuseOutcomeUnknown,
  refuseReuse,
  refuseRunning,
} from "./key_refusals.ts";

/** Time before the deadline at which a lookup stops waiting for the holder. */
const ANSWER_RESERVE_MS = 50;
/**
 * A holder that is not a known member this long after its key was created is gone.
 * The holder of a more recent key may not have been announced yet.
 */
const HOLDER_DISCOVERY_MS = 5_000;
/** Dependencies of a {@link HolderLookup}. */
export interface HolderLookupOptions {
  readonly peers: rpc.PeerConnections;
  readonly findMember: (instance: InstanceId) => MemberFacts | undefined;
  readonly findResults: (context: RequestContext) => Promise<rpc.FoundResults>;
  readonly readNow: () => number;
}

type HeldStatus = Exclude<claims.KeyStatus, { kind: "free" | "expired" }>;

/** Finds the answer of the attempt that holds a key. */
export class HolderLookup {
  readonly #options: HolderLookupOptions;

  constructor(options: HolderLookupOptions) {
    this.#options = options;
  }

  /** Answers a request whose claim lost to an earlier one on the same key. */
  async answerLostClaim(
    context: RequestContext,
    status: claims.KeyStatus,
  ): Promise<RequestAnswer> {
    if (status.kind === "expired") return refuseKeyExpired(context);
    // The earlier claim has been released since: the caller may retry.
    if (status.kind === "free") return refuseHeld("The key was just released");
    if (status.fingerprint !== context.fingerprint) return refuseReuse(context);
    if (status.kind === "completed" && status.answer !== undefined) {
      return createReplay(status.answer);
    }
    return await this.#queryHolder(context, status);
  }

  /**
   * Waits for the answer of another entry that runs the same repeatable request.
   *
   * @returns Undefined when that entry has no answer or is gone: run the request here.
   */
  async waitForRunner(
    context: RequestContext,
    runner: InstanceId,
  ): Promise<RequestAnswer | undefined> {
    const member = this.#options.findMember(runner);
    const answer = member && await this.#callHolder(context, member);
    if (answer?.kind !== "refused") return answer;
    // Still running there at the deadline: a second run would not finish earlier.
    return answer.failure.code === "HELD_ELSEWHERE" ? answer : undefined;
  }

  async #queryHolder(
    context: RequestContext,
    status: HeldStatus,
  ): Promise<RequestAnswer> {
    const kept = await this.#findKeptAnswer(context);
    if (kept) return kept;
    const member = this.#options.findMember(status.holder.instance);
    const answer = member &&
      await this.#callHolder(context, member, status.holder);
    // The holder may have answered and crashed between the two queries.
    return answer ?? await this.#findKeptAnswer(context) ??
      refuseWithoutHolder(context, status);
  }

  async #findKeptAnswer(
    context: RequestContext,
  ): Promise<RequestAnswer | undefined> {
    const { results } = await this.#options.findResults(context);
    const lastStage = context.pipeline.stages.length - 1;
    const last = results.find((result) => result.stage === lastStage);
    return last && createReplay(last.output);
  }

  async #callHolder(
    context: RequestContext,
    member: MemberFacts,
    id?: claims.ClaimId,
  ): Promise<RequestAnswer | undefined> {
    if (!context.keyId) return undefined;
    const remainingMs = context.deadlineAt - this.#options.readNow();
    const waitMs = Math.max(0, remainingMs - ANSWER_RESERVE_MS);
    const params = { keyId: context.keyId, waitMs, id };
    const response = await this.#options.peers.call(
      member.entryRpc,
      "findAnswer",
      params,
      { timeoutMs: Math.max(1, remainingMs) },
    );
    if (response.isErr()) return undefined;
    return match(response.value)
      .with(
        { kind: "completed" },
        ({ body }) => createReplay(body),
      )
      .with(
        { kind: "running" },
        () => refuseRunning(),
      )
      .with({ kind: "unknown" }, () => refuseOutcomeUnknown(context))
      // A holder that does not know the key has not started yet or has evicted it;
      // the status from the log decides.
      .with({ kind: "none" }, { kind: "closed" }, () => undefined)
      .exhaustive();
  }
}

function refuseWithoutHolder(
  context: RequestContext,
  status: HeldStatus,
): RequestAnswer {
  if (status.kind === "unknown") return refuseOutcomeUnknown(context);
  if (status.kind === "completed") return refuseAnswerNotKept(context);
  const isRecent = isRecentKey(context.keyId?.key ?? "");
  if (isRecent) return refuseHeld("The holder of the key is not known yet");
  return refuseHolderGone(context);
}

function isRecentKey(key: string): boolean {
  const parsed = claims.parseKey(key);
  if (parsed.isErr() || parsed.value.kind !== "uuidv7") return false;
  return Date.now() - parsed.value.time < HOLDER_DISCOVERY_MS;
}
