/**
 * What this entry did under callers' keys, for repeats of the same request.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import { LRUCache } from "lru-cache";
import {
  type CompletedAnswer,
  createCompletion,
  type RequestAnswer,
} from "./answer.ts";

/** Bounds of the registry. */
export interface KeyRegistryOptions {
  /** How long an answer is kept after it was given, in milliseconds. */
  readonly keepMs: number;
  /** Keys kept at once; beyond it the least recently used goes. */
  readonly maxKeys: number;
}

type KeyState =
  | { readonly kind: "running"; readonly answer: Promise<RequestAnswer> }
  | { readonly kind: "completed"; readonly answer: CompletedAnswer }
  | { readonly kind: "unknown" };

interface KeyRecord {
  readonly fingerprint: string;
  state: KeyState;
}

/** How a request relates to what is known of its key. */
export type KeyRelation =
  | { readonly kind: "new" }
  /** The key belongs to a request with another body. */
  | { readonly kind: "reused" }
  | { readonly kind: "running"; readonly answer: Promise<RequestAnswer> }
  | { readonly kind: "completed"; readonly answer: CompletedAnswer }
  | { readonly kind: "unknown" };

/**
 * Joins requests under the same key at this entry.
 *
 * It is not what keeps a call single: that is the claim through the log, or the
 * mint. It spares the second run of a repeatable request and answers repeats
 * without the log.
 */
export class KeyRegistry {
  readonly #keys: LRUCache<string, KeyRecord>;

  constructor(options: KeyRegistryOptions) {
    this.#keys = new LRUCache({ max: options.maxKeys, ttl: options.keepMs });
  }

  /** Tells how a request relates to what is known of its key. */
  getRelation(keyId: claims.KeyId, fingerprint: string): KeyRelation {
    const known = this.#keys.get(results.formatKeyId(keyId));
    if (!known) return { kind: "new" };
    if (known.fingerprint !== fingerprint) return { kind: "reused" };
    return known.state;
  }

  /** Notes a request that begins, and its end when its answer is there. */
  track(
    keyId: claims.KeyId,
    fingerprint: string,
    answer: Promise<RequestAnswer>,
  ): void {
    const record: KeyRecord = {
      fingerprint,
      state: { kind: "running", answer },
    };
    const name = results.formatKeyId(keyId);
    this.#keys.set(name, record);
    answer.then(
      (final) => this.#settle(name, record, final),
      // A fault of this entry: the claim or the mint keeps a single call single.
      () => this.#drop(name, record),
    );
  }

  /** Notes a completion that came after its request had been given up. */
  complete(keyId: claims.KeyId, fingerprint: string, output: unknown): void {
    const cost = { calls: 0, tokens: 0, workerMs: 0 };
    const answer = createCompletion(output, cost, true);
    this.#keys.set(results.formatKeyId(keyId), {
      fingerprint,
      state: { kind: "completed", answer },
    });
  }

  /** Forgets that a key is unknown, once its attempt is proved not to have run. */
  dropUnknown(keyId: claims.KeyId): void {
    const name = results.formatKeyId(keyId);
    if (this.#keys.get(name)?.state.kind === "unknown") this.#keys.delete(name);
  }

  /** Gives the state of a key, waiting a bounded time for a running one. */
  async waitForStatus(
    keyId: claims.KeyId,
    waitMs: number,
  ): Promise<rpc.AnswerStatus> {
    const known = this.#keys.get(results.formatKeyId(keyId));
    if (known?.state.kind === "running") {
      await waitAtMost(known.state.answer, waitMs);
    }
    const state = this.#keys.get(results.formatKeyId(keyId))?.state;
    if (!state) return { kind: "none" };
    if (state.kind !== "completed") return { kind: state.kind };
    return { kind: "completed", body: state.answer.output };
  }

  #drop(name: string, record: KeyRecord): void {
    if (this.#keys.get(name) === record) this.#keys.delete(name);
  }

  #settle(name: string, record: KeyRecord, answer: RequestAnswer): void {
    if (this.#keys.get(name) !== record) return;
    if (answer.kind === "completed") {
      record.state = { kind: "completed", answer };
      this.#keys.set(name, record);
      return;
    }
    const { outcome, attempt } = answer.failure;
    // An attempt that did not run leaves the key to the next one, also where
    // nothing is known of the key itself, as while the log is down.
    const mayHaveRun = (attempt ?? outcome) !== "not run";
    if (mayHaveRun) record.state = { kind: "unknown" };
    else this.#keys.delete(name);
  }
}

/**
 * Waits for a promise, but no longer than a bound.
 *
 * @param promise What is waited for.
 * @param boundMs Longest wait, in milliseconds.
 * @returns The value, or undefined when the bound came first.
 */
export async function waitAtMost<T>(
  promise: Promise<T>,
  boundMs: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const bound = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, boundMs));
  });
  try {
    return await Promise.race([promise, bound]);
  } finally {
    clearTimeout(timer);
  }
}
