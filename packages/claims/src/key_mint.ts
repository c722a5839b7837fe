/**
 * Minted keys: issued in advance, and run only by the instance that minted them,
 * which tracks them in memory without the log.
 *
 * @module
 */
import type {
  BeginOptions,
  BeginResult,
  ExportedAnswers,
  KeyMintOptions,
  MintedAttemptResult,
  MintedKeyStatus,
  MintOptions,
} from "./key_mint_types.ts";
import type { CustomerId } from "@sardinestep/types";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import { formatMintedKey, parseKey } from "./key.ts";
import type { KeyId } from "./record.ts";

interface UsedKey {
  readonly keyId: KeyId;
  readonly mintedAtMs: number;
  readonly fingerprint: string;
  readonly attempt: number;
  readonly status: MintedKeyStatus | { readonly kind: "not_run" };
}

/** 132 bits of the hash; a forgery takes longer than any key is valid. */
const BINDING_CHARACTERS = 22;

/**
 * Mints keys and lets each key run once at most.
 *
 * An unused key takes no memory: a keyed hash in its serial binds it to its
 * customer. A used key is stored at least until it expires.
 *
 * @example
 * ```ts
 * const mint = new KeyMint({ instance, ttlMs: 600_000, maxUsedPerCustomer: 10_000, secret });
 * const keys = mint.mint(10, { customer: "timburmat", now });
 * ```
 */
export class KeyMint {
  readonly #options: KeyMintOptions;
  /** By key text; the text is bound to one customer. */
  readonly #used = new Map<string, UsedKey>();
  readonly #usedByCustomer = new Map<CustomerId, number>();
  /** Highest time seen; never decreases, so that a pruned key stays refused. */
  #latestMs = 0;
  #lastSerialNumber = 0;
  #isClosed = false;

  constructor(options: KeyMintOptions) {
    this.#options = options;
  }

  /** Number of used keys in memory. */
  get size(): number {
    return this.#used.size;
  }

  /** Whether new attempts are refused. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Mints keys for one customer.
   *
   * @param count Number of keys.
   * @param options The customer and the monotonic time.
   * @returns The keys, or `closed` if this instance is stopping.
   */
  mint(count: number, options: MintOptions): Result<string[], "closed"> {
    if (this.#isClosed) return Err("closed");
    const mintedAtMs = this.#updateClock(options.now);
    const keys = Array.from({ length: count }, () => {
      this.#lastSerialNumber += 1;
      const serialNumber = this.#lastSerialNumber.toString(36);
      return this.#formatKey({
        customer: options.customer,
        mintedAtMs,
        serialNumber,
      });
    });
    return Ok(keys);
  }

  /**
   * Requests to run a call under a key.
   *
   * Expiry and {@link prune} use the same clock, so a pruned key can't begin a
   * second time.
   *
   * @param keyId Customer and key.
   * @param options The monotonic time and the body's fingerprint.
   * @returns `run` for one attempt at a time, and never after one may have run.
   */
  begin(keyId: KeyId, options: BeginOptions): BeginResult {
    const now = this.#updateClock(options.now);
    const mintedAtMs = this.#parseMintTime(keyId);
    if (mintedAtMs === undefined) return { kind: "foreign" };
    const usedKey = this.#used.get(keyId.key);
    if (usedKey && usedKey.fingerprint !== options.fingerprint) {
      return { kind: "reused" };
    }
    if (usedKey?.status.kind === "running") return { kind: "running" };
    if (usedKey && usedKey.status.kind !== "not_run") {
      return { kind: "answer", status: usedKey.status };
    }
    if (this.#isClosed) return { kind: "closed" };
    if (mintedAtMs < now - this.#options.ttlMs) return { kind: "expired" };
    if (!usedKey && this.#isFull(keyId.customer)) {
      return { kind: "full", retryAfterMs: this.#options.ttlMs };
    }
    const attempt = (usedKey?.attempt ?? 0) + 1;
    const { fingerprint } = options;
    const status = { kind: "running" } as const;
    this.#setUsed({ keyId, mintedAtMs, fingerprint, attempt, status });
    return { kind: "run", attempt };
  }

  /**
   * Records how an attempt ended. A result of an earlier attempt and a repeated
   * result are ignored, but `completed` replaces `unknown`.
   *
   * @param keyId Customer and key.
   * @param options The attempt number from {@link begin} and the result.
   */
  finish(
    keyId: KeyId,
    options: { readonly attempt: number; readonly ending: MintedAttemptResult },
  ): void {
    const usedKey = this.#used.get(keyId.key);
    if (!usedKey || usedKey.keyId.customer !== keyId.customer) return;
    if (usedKey.attempt !== options.attempt) return;
    const { kind } = usedKey.status;
    const isLateCompletion = kind === "unknown" &&
      options.ending.kind === "completed";
    if (kind !== "running" && !isLateCompletion) return;
    this.#used.set(keyId.key, { ...usedKey, status: options.ending });
  }

  /** Status of a key; undefined if it has not begun or was pruned. */
  findStatus(keyId: KeyId): MintedKeyStatus | undefined {
    const usedKey = this.#used.get(keyId.key);
    if (!usedKey || usedKey.keyId.customer !== keyId.customer) return undefined;
    return usedKey.status.kind === "not_run" ? undefined : usedKey.status;
  }

  /** Refuses new attempts from now on; running ones may still finish. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Exports what other entries need in order to answer for this instance.
   *
   * @throws {Error} If not closed: an unused key could still begin.
   */
  exportAnswers(): ExportedAnswers {
    if (!this.#isClosed) throw new Error("Cannot export answers before close");
    const answers = [...this.#used.values()].map(({ keyId, status }) => ({
      keyId,
      status: formatForExport(status),
    }));
    const { instance, ttlMs } = this.#options;
    return { instance, answers, unusedClosedFromMs: this.#latestMs - ttlMs };
  }

  /**
   * Deletes expired keys that are not running, to bound memory.
   *
   * @param now The monotonic time.
   */
  prune(now: number): void {
    const oldestMintedAtMs = this.#updateClock(now) - this.#options.ttlMs;
    for (const [key, used] of this.#used) {
      if (
        used.mintedAtMs >= oldestMintedAtMs || used.status.kind === "running"
      ) continue;
      this.#used.delete(key);
      this.#countUsed(used.keyId.customer, -1);
    }
  }

  #updateClock(now: number): number {
    this.#latestMs = Math.max(this.#latestMs, Math.floor(now));
    return this.#latestMs;
  }

  /** Limited per customer, so that one customer can't block the others. */
  #isFull(customer: CustomerId): boolean {
    const used = this.#usedByCustomer.get(customer) ?? 0;
    return used >= this.#options.maxUsedPerCustomer;
  }

  #setUsed(used: UsedKey): void {
    if (!this.#used.has(used.keyId.key)) {
      this.#countUsed(used.keyId.customer, 1);
    }
    this.#used.set(used.keyId.key, used);
  }

  #countUsed(customer: CustomerId, change: number): void {
    const count = (this.#usedByCustomer.get(customer) ?? 0) + change;
    if (count > 0) this.#usedByCustomer.set(customer, count);
    else this.#usedByCustomer.delete(customer);
  }

  #parseMintTime({ key, customer }: KeyId): number | undefined {
    const parsed = parseKey(key);
    if (parsed.isErr() || parsed.value.kind !== "minted") return undefined;
    const { instance, mintedAtMs, serial } = parsed.value;
    if (instance !== this.#options.instance) return undefined;
    const [serialNumber] = serial.split("-");
    const expected = this.#formatKey({ customer, mintedAtMs, serialNumber });
    return isEqualText(key, expected) ? mintedAtMs : undefined;
  }

  #formatKey(
    parts: { customer: CustomerId; mintedAtMs: number; serialNumber: string },
  ): string {
    const { customer, mintedAtMs, serialNumber } = parts;
    const { instance, secret } = this.#options;
    const binding = createHmac("sha256", secret)
      .update(JSON.stringify([instance, mintedAtMs, serialNumber, customer]))
      .digest("base64url")
      .slice(0, BINDING_CHARACTERS);
    const serial = `${serialNumber}-${binding}`;
    return formatMintedKey({ instance, mintedAtMs, serial });
  }
}

function isEqualText(left: string, right: string): boolean {
  if (left.length !== right.length) return false;
  return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/** Running attempts are exported as `unknown`: their outcome is still open. */
function formatForExport(status: UsedKey["status"]): MintedKeyStatus {
  if (status.kind === "running") return { kind: "unknown" };
  if (status.kind === "not_run") return { kind: "closed" };
  return status;
}
