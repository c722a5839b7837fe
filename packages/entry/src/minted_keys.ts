/**
 * Minted keys: at-most-once calls without a claim in the log.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type { CustomerId, InstanceId, MemberFacts } from "@sardinestep/types";
import { match, P } from "ts-pattern";
import { createReplay, type RequestAnswer } from "./answer.ts";
import { Claimant } from "./claimant.ts";
import type { RequestContext } from "./context.ts";
import { runAsHolder } from "./filters/claim_key.ts";
import {
  refuseAnswerNotKept,
  refuseCustomerLimit,
  refuseForwardUnanswered,
  refuseKeyClosed,
  refuseKeyExpired,
  refuseMinterGone,
  refuseOtherCustomer,
  refuseOutcomeUnknown,
  refuseReuse,
  refuseRunning,
} from "./key_refusals.ts";

type MintedKey = Extract<claims.ParsedKey, { kind: "minted" }>;

const LOOK_UP_TIMEOUT_MS = 500;
/** Hand-overs kept, enough for a rolling replacement of all VMs. */
const MAX_HAND_OVERS = 64;

/** Dependencies of {@link MintedKeys}. */
export interface MintedKeysOptions {
  readonly mint: claims.KeyMint;
  readonly instance: InstanceId;
  readonly peers: rpc.PeerConnections;
  readonly findMember: (instance: InstanceId) => MemberFacts | undefined;
  /** Appends an outcome to the log once the log is available. */
  readonly recordLater: (record: claims.ClaimRecord) => void;
  /** Called on completion, even if the caller was answered "unknown" before. */
  readonly onCompleted: (
    keyId: claims.KeyId,
    fingerprint: string,
    answer: unknown,
  ) => void;
  readonly createClaimId: () => claims.ClaimId;
  /** Returns the status of a key in the log, or undefined if the log is unreachable. */
  readonly lookUpKey: (
    keyId: claims.KeyId,
    timeoutMs: number,
  ) => Promise<claims.KeyStatus | undefined>;
  readonly readNow: () => number;
}

/** Runs requests under minted keys, locally or at the entry that minted them. */
export class MintedKeys {
  readonly #options: MintedKeysOptions;
  readonly #handOvers = new Map<InstanceId, rpc.HandOver>();

  constructor(options: MintedKeysOptions) {
    this.#options = options;
  }

  /** Mints keys for a customer; returns undefined if this entry is shutting down. */
  mint(customer: CustomerId, count: number): string[] | undefined {
    const now = this.#options.readNow();
    const minted = this.#options.mint.mint(count, { customer, now });
    return minted.isOk() ? minted.value : undefined;
  }

  /** Runs a request whose key was minted by this entry or another one. */
  async run(
    context: RequestContext,
    key: MintedKey,
    next: () => Promise<RequestAnswer>,
  ): Promise<RequestAnswer> {
    if (key.instance === this.#options.instance) {
      return await this.#runLocally(context, next);
    }
    const minter = this.#options.findMember(key.instance);
    const answer = minter && await this.#forward(context, minter);
    return answer ?? await this.#answerWithoutMinter(context, key);
  }

  /** Keeps the key statuses of an entry that is shutting down; used only to answer. */
  acceptHandOver(handOver: rpc.HandOver): { kept: number } {
    this.#handOvers.set(handOver.instance, handOver);
    const oldest = this.#handOvers.keys().next().value;
    const isFull = this.#handOvers.size > MAX_HAND_OVERS;
    if (isFull && oldest !== undefined) this.#handOvers.delete(oldest);
    return { kept: handOver.answers.length };
  }

  /** Returns the status of a key that this entry minted. */
  findStatus(keyId: claims.KeyId): rpc.AnswerStatus {
    return this.#options.mint.findStatus(keyId) ?? { kind: "none" };
  }

  /** Closes the mint permanently and returns the statuses of its keys. */
  close(): rpc.HandOver {
    this.#options.mint.close();
    return this.#options.mint.exportAnswers();
  }

  async #runLocally(
    context: RequestContext,
    next: () => Promise<RequestAnswer>,
  ): Promise<RequestAnswer> {
    const { keyId, fingerprint } = context;
    if (!keyId) throw new Error("Cannot run a minted key: keyId is missing");
    const now = this.#options.readNow();
    const decision = this.#options.mint.begin(keyId, { now, fingerprint });
    return await match(decision)
      .with(
        { kind: "run" },
        ({ attempt }) => this.#runOnce(context, attempt, next),
      )
      .with({ kind: "running" }, () => refuseRunning())
      .with({ kind: "answer" }, ({ status }) => answerStatus(context, status))
      .with({ kind: "expired" }, () => refuseKeyExpired(context))
      .with({ kind: "foreign" }, () => refuseOtherCustomer(context))
      .with({ kind: "reused" }, () => refuseReuse(context))
      .with(
        { kind: "full" },
        ({ retryAfterMs }) => refuseCustomerLimit(retryAfterMs),
      )
      .with({ kind: "closed" }, () => refuseKeyClosed(context))
      .exhaustive();
  }

  async #runOnce(
    context: RequestContext,
    attempt: number,
    next: () => Promise<RequestAnswer>,
  ): Promise<RequestAnswer> {
    const claimant = this.#createClaimant(context, attempt);
    // The mint admitted this attempt, so it holds the key.
    claimant.applyVerdict({ kind: "won" });
    const { readNow } = this.#options;
    return await runAsHolder(context, { claimant, next, readNow });
  }

  #createClaimant(context: RequestContext, attempt: number): Claimant {
    const { keyId, fingerprint, deadlineAt } = context;
    if (!keyId) throw new Error("Cannot run a minted key: keyId is missing");
    const id = this.#options.createClaimId();
    return new Claimant({
      facts: { id, keyId, fingerprint, deadlineAt },
      // No claim was appended to the log, so a release is not recorded.
      recordLater: (record) => {
        if (record.kind === "outcome") this.#options.recordLater(record);
      },
      onStateChange: (state, answer) => {
        const ending = buildAttemptResult(state, answer);
        if (!ending) return;
        this.#options.mint.finish(keyId, { attempt, ending });
        if (ending.kind !== "completed") return;
        this.#options.onCompleted(keyId, fingerprint, answer);
      },
    });
  }

  /** Returns undefined if the minter was not reached: nothing was sent. */
  async #forward(
    context: RequestContext,
    minter: MemberFacts,
  ): Promise<RequestAnswer | undefined> {
    const { customer, pipeline, incoming } = context;
    const remainingMs = context.deadlineAt - this.#options.readNow();
    const params = {
      customer,
      key: context.keyId?.key ?? "",
      pipeline: pipeline.pipelineId,
      bodyText: incoming.bodyText,
      deadlineInMs: Math.floor(remainingMs),
    };
    const timeoutMs = Math.max(1, remainingMs);
    const answer = await this.#options.peers.call(
      minter.entryRpc,
      "runMinted",
      params,
      { timeoutMs },
    );
    if (answer.isOk()) return answer.value as RequestAnswer;
    return answer.error.kind === "not_sent"
      ? undefined
      : refuseForwardUnanswered();
  }

  async #answerWithoutMinter(
    context: RequestContext,
    key: MintedKey,
  ): Promise<RequestAnswer> {
    const handedOver = this.#findHandedOver(context, key);
    if (handedOver) return answerStatus(context, handedOver);
    const logStatus = context.keyId &&
      await this.#options.lookUpKey(context.keyId, LOOK_UP_TIMEOUT_MS);
    if (logStatus?.kind === "completed") {
      const body = logStatus.answer;
      return body === undefined
        ? refuseAnswerNotKept(context)
        : createReplay(body);
    }
    return refuseMinterGone(context);
  }

  #findHandedOver(
    context: RequestContext,
    key: MintedKey,
  ): claims.MintedKeyStatus | undefined {
    const handOver = this.#handOvers.get(key.instance);
    if (!handOver) return undefined;
    const { keyId } = context;
    const handedOverAnswer = handOver.answers.find((answer) =>
      answer.keyId.key === keyId?.key &&
      answer.keyId.customer === keyId?.customer
    );
    if (handedOverAnswer) return handedOverAnswer.status;
    const isClosed = key.mintedAtMs >= handOver.unusedClosedFromMs;
    return isClosed ? { kind: "closed" } : undefined;
  }
}

function buildAttemptResult(
  state: claims.AttemptState,
  answer: unknown,
): claims.MintedAttemptResult | undefined {
  return match(state)
    .returnType<claims.MintedAttemptResult | undefined>()
    .with({ kind: "abandoned" }, () => ({ kind: "not_run" }))
    .with(
      { kind: "done", outcome: "completed" },
      () => ({ kind: "completed", body: answer }),
    )
    .with({ kind: "done", outcome: "unknown" }, () => ({ kind: "unknown" }))
    .with({ kind: P.union("claiming", "won", "dispatched") }, () => undefined)
    .exhaustive();
}

function answerStatus(
  context: RequestContext,
  status: claims.MintedKeyStatus,
): RequestAnswer {
  return match(status)
    .with(
      { kind: "completed" },
      ({ body }) => createReplay(body),
    )
    .with({ kind: "running" }, () => refuseRunning())
    .with({ kind: "unknown" }, () => refuseOutcomeUnknown(context))
    .with({ kind: "closed" }, () => refuseKeyClosed(context))
    .exhaustive();
}
