/**
 * Attempts and answers of this entry by idempotency key, for retries.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import { LRUCache } from "lru-cache";
import {
  type CompletedAnswer,
  createReplay,
  type RequestAnswer,
} from "./answer.ts";

/** Limits of the registry. */
export interface KeyRegistryOptions {
  /** How long an answer is kept, in milliseconds. */
  readonly keepMs: number;
  /** Maximum number of keys; beyond it the least recently used is evicted. */
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

/** State of earlier attempts under the key of a request. */
export type KeyUsage =
  | { readonly kind: "new" }
  /** The key was used with another body. */
  | { readonly kind: "reused" }
  | { readonly kind: "running"; readonly answer: Promise<RequestAnswer> }
  | { readonly kind: "completed"; readonly answer: CompletedAnswer }
  | { readonly kind: "unknown" };

/**
 * Deduplicates requests with the same key at this entry.
 *
 * It does not guarantee at-most-once calls: the claim in the log or the mint does.
 * It avoids a second run of a repeatable request and answers retries without the
 * log.
 */
export class KeyRegistry {
  readonly #keys: LRUCache<string, KeyRecord>;

  constructor(options: KeyRegistryOptions) {
    this.#keys = new LRUCache({ max: options.maxKeys, ttl: options.keepMs });
  }

  /** Returns the state of earlier attempts under the key of a request. */
  getUsage(keyId: claims.KeyId, fingerprint: string): KeyUsage {
    const known = this.#keys.get(results.formatKeyId(keyId));
    if (!known) return { kind: "new" };
    if (known.fingerprint !== fingerprint) return { kind: "reused" };
    return known.state;
  }

  /** Records a request as running, and its outcome once it is answered. */
  recordAttempt(
    keyId: claims.KeyId,
    fingerprint: string,
    answer: Promise<RequestAnswer>,
  ): void {
    const record: KeyRecord = {
      fingerprint,
      state: { kind: "running", answer },
    };
    const id = results.formatKeyId(keyId);
    this.#keys.set(id, record);
    answer.then(
      (finalAnswer) => this.#settle(id, record, finalAnswer),
      // An internal error; the claim or the mint still guarantees at most one call.
      () => this.#drop(id, record),
    );
  }

  /** Records a completion that arrived after its request was given up. */
  complete(
    keyId: claims.KeyId,
    fingerprint: string,
    output: unknown,
  ): void {
    const answer = createReplay(output);
    this.#keys.set(results.formatKeyId(keyId), {
      fingerprint,
      state: { kind: "completed", answer },
    });
  }

  /** Removes an "unknown" key once its attempt is proved not to have run. */
  dropUnknown(keyId: claims.KeyId): void {
    const id = results.formatKeyId(keyId);
    if (this.#keys.get(id)?.state.kind === "unknown") this.#keys.delete(id);
  }

  /** Returns the status of a key; waits up to `waitMs` for a running attempt. */
  async waitForStatus(
    keyId: claims.KeyId,
    waitMs: number,
  ): Promise<rpc.AnswerStatus> {
    const known = this.#keys.get(results.formatKeyId(keyId));
    if (known?.state.kind === "running") {
      await waitWithTimeout(known.state.answer, waitMs);
    }
    const state = this.#keys.get(results.formatKeyId(keyId))?.state;
    if (!state) return { kind: "none" };
    if (state.kind !== "completed") return { kind: state.kind };
    return { kind: "completed", body: state.answer.output };
  }

  #drop(id: string, record: KeyRecord): void {
    if (this.#keys.get(id) === record) this.#keys.delete(id);
  }

  #settle(id: string, record: KeyRecord, answer: RequestAnswer): void {
    if (this.#keys.get(id) !== record) return;
    if (answer.kind === "completed") {
      record.state = { kind: "completed", answer };
      this.#keys.set(id, record);
      return;
    }
    const { outcome, attempt } = answer.failure;
    // An attempt that did not run frees the key for the next one, even if the
    // outcome of the key itself is unknown, such as while the log is down.
    const mayHaveRun = (attempt ?? outcome) !== "not run";
    if (mayHaveRun) record.state = { kind: "unknown" };
    else this.#keys.delete(id);
  }
}

/**
 * Waits for a promise with a timeout.
 *
 * @param promise The promise to wait for.
 * @param timeoutMs Timeout in milliseconds.
 * @returns The value, or undefined on timeout.
 */
export async function waitWithTimeout<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, timeoutMs));
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
