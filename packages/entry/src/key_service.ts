/**
 * Mints keys for callers and reports the status of a key.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type { Outcome } from "@sardinestep/types";
import { match, P } from "ts-pattern";
import * as z from "zod";
import { createRefusal, type RequestAnswer } from "./answer.ts";
import type { IncomingRequest } from "./context.ts";
import {
  hasCredential,
  refuseCredential,
} from "./filters/identify_customer.ts";
import type { KeyReport, MintedKeyBatch } from "./http_routes.ts";
import type { KeyRegistry } from "./key_registry.ts";
import type { MintedKeys } from "./minted_keys.ts";
import type { SiteController } from "./site_state.ts";

/** Keys in one batch; an unused key takes no memory in the entry. */
const MAX_KEYS_PER_BATCH = 1_000;
const LOOK_UP_TIMEOUT_MS = 500;

const MINT_SCHEMA = z.strictObject({
  count: z.int().min(1).max(MAX_KEYS_PER_BATCH).default(1),
});

/** Dependencies of {@link KeyService}. */
export interface KeyServiceOptions {
  readonly registry: KeyRegistry;
  readonly minted: MintedKeys;
  readonly peers: rpc.PeerConnections;
  readonly site: SiteController;
  readonly ttlMs: number;
  readonly lookUpKey: (
    keyId: claims.KeyId,
  ) => Promise<claims.KeyStatus | undefined>;
}

/** Handles the requests to mint and look up keys. */
export class KeyService {
  readonly #options: KeyServiceOptions;

  constructor(options: KeyServiceOptions) {
    this.#options = options;
  }

  /** Mints keys for the customer that sent the request. */
  mintKeys(incoming: IncomingRequest): MintedKeyBatch | RequestAnswer {
    const customer = this.#identify(incoming);
    if (!customer) return refuseCredential();
    const count = parseKeyCount(incoming.bodyText);
    if (count === undefined) return refuseKeyCount();
    const keys = this.#options.minted.mint(customer, count);
    if (!keys) {
      const message = "Entry is shutting down; mint keys at another entry";
      return createRefusal("SHUTTING_DOWN", message, { retryAfterMs: 0 });
    }
    return { kind: "minted", keys, expiresInMs: this.#options.ttlMs };
  }

  /** Returns the status of a key of the customer that sent the request. */
  async lookUp(incoming: IncomingRequest): Promise<KeyReport | RequestAnswer> {
    const customer = this.#identify(incoming);
    if (!customer) return refuseCredential();
    const keyId = { customer, key: incoming.key ?? "" };
    return await this.#askEntries(keyId) ?? await this.#askLog(keyId);
  }

  #identify(incoming: IncomingRequest): string | undefined {
    const { customer, authorization } = incoming;
    const spec = customer && this.#options.site.site?.customers.get(customer);
    if (!spec) return undefined;
    const isValid = hasCredential(authorization, spec.credentialSha256);
    return isValid ? spec.customerId : undefined;
  }

  async #askEntries(keyId: claims.KeyId): Promise<KeyReport | undefined> {
    const local = await this.#options.registry.waitForStatus(keyId, 0);
    const status = await this.#askMinterIfUnknown(keyId, local);
    if (status.kind === "none") return undefined;
    const outcome = getOutcome(status);
    const { key } = keyId;
    const kind = "report";
    return { kind, key, outcome, state: status.kind, source: "entry" };
  }

  /** An entry that forwarded a request may not have received its outcome. */
  async #askMinterIfUnknown(
    keyId: claims.KeyId,
    local: rpc.AnswerStatus,
  ): Promise<rpc.AnswerStatus> {
    if (local.kind !== "none" && local.kind !== "unknown") return local;
    const remote = await this.#askMinter(keyId);
    return remote.kind === "none" ? local : remote;
  }

  async #askMinter(keyId: claims.KeyId): Promise<rpc.AnswerStatus> {
    const own = this.#options.minted.findStatus(keyId);
    const parsed = claims.parseKey(keyId.key);
    if (own.kind !== "none" || parsed.isErr()) return own;
    if (parsed.value.kind !== "minted") return own;
    const minter = this.#options.site.findMember(parsed.value.instance);
    if (!minter) return own;
    const reply = await this.#options.peers.call(
      minter.entryRpc,
      "findAnswer",
      { keyId, waitMs: 0 },
      { timeoutMs: LOOK_UP_TIMEOUT_MS },
    );
    return reply.isOk() ? reply.value : own;
  }

  async #askLog(keyId: claims.KeyId): Promise<KeyReport> {
    const status = await this.#options.lookUpKey(keyId);
    const { key } = keyId;
    if (!status) {
      const state = "unreachable";
      return { kind: "report", key, outcome: "unknown", state, source: "none" };
    }
    const outcome = status.kind === "completed" ? "completed" : "unknown";
    const state = status.kind;
    return { kind: "report", key, outcome, state, source: "log" };
  }
}

function parseKeyCount(bodyText: string): number | undefined {
  try {
    const value = bodyText === "" ? {} : JSON.parse(bodyText);
    return MINT_SCHEMA.safeParse(value).data?.count;
  } catch {
    return undefined;
  }
}

function getOutcome(status: rpc.AnswerStatus): Outcome {
  return match(status.kind)
    .with("completed", () => "completed" as const)
    .with("closed", () => "not run" as const)
    .with(P.union("none", "running", "unknown"), () => "unknown" as const)
    .exhaustive();
}

function refuseKeyCount(): RequestAnswer {
  const message =
    `Cannot mint keys: expected {"count": n} with n from 1 to ${MAX_KEYS_PER_BATCH}`;
  return createRefusal("INVALID_REQUEST", message);
}
