/**
 * Keys taken beforehand, which only the instance that minted them may run, from
 * its own memory and without the log.
 *
 * @module
 */
import type {
  BeginOptions,
  ExportedAnswers,
  KeyMintOptions,
  MintedBegin,
  MintedEnding,
  MintedStatus,
  MintOptions,
} from "./minted_key.ts";
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
  readonly status: MintedStatus | { readonly kind: "not_run" };
}

/** 132 bits of the hash: forging one takes longer than any key lives. */
const BINDING_LENGTH = 22;

/**
 * Mints keys and lets each run once.
 *
 * An unused key costs no memory: a keyed hash in its serial binds it to its
 * customer. A used one is remembered until no key minted at its time may begin.
 *
 * @example
 * ```ts
 * const mint = new KeyMint({ instance, ttlMs: 600_000, maxUsed: 10_000, secret });
 * const keys = mint.mint(10, { customer: "timburmat", now });
 * ```
 */
export class KeyMint {
  readonly #options: KeyMintOptions;
  /** By key text; the text is bound to one customer. */
  readonly #used = new Map<string, UsedKey>();
  readonly #usedByCustomer = new Map<CustomerId, number>();
  /** Never goes back, so that what is forgotten stays refused. */
  #latest = 0;
  #serial = 0;
  #isClosed = false;

  constructor(options: KeyMintOptions) {
    this.#options = options;
  }

  /** Used keys that are remembered. */
  get size(): number {
    return this.#used.size;
  }

  /** Whether nothing may begin any more. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Mints keys for one customer.
   *
   * @param count How many.
   * @param options The customer and the monotonic time.
   * @returns The keys, or `closed` on a stopping instance.
   */
  mint(count: number, options: MintOptions): Result<string[], "closed"> {
    if (this.#isClosed) return Err("closed");
    const mintedAtMs = this.#updateClock(options.now);
    const keys = Array.from({ length: count }, () => {
      this.#serial += 1;
      const number = this.#serial.toString(36);
      return this.#formatKey({
        customer: options.customer,
        mintedAtMs,
        number,
      });
    });
    return Ok(keys);
  }

  /**
   * Asks to run a request under a key.
   *
   * A key past its life is refused by the same clock that lets its record be
   * forgotten, so a forgotten key can't begin a second time.
   *
   * @param keyId Customer and key.
   * @param options The monotonic time and the body's fingerprint.
   * @returns `run` to one attempt at a time, and never after a dispatch.
   */
  begin(keyId: KeyId, options: BeginOptions): MintedBegin {
    const now = this.#updateClock(options.now);
    const mintedAtMs = this.#parseOwnKey(keyId);
    if (mintedAtMs === undefined) return { kind: "foreign" };
    const known = this.#used.get(keyId.key);
    if (known && known.fingerprint !== options.fingerprint) {
      return { kind: "reused" };
    }
    if (known?.status.kind === "running") return { kind: "running" };
    if (known && known.status.kind !== "not_run") {
      return { kind: "answer", status: known.status };
    }
    if (this.#isClosed) return { kind: "closed" };
    if (mintedAtMs < now - this.#options.ttlMs) return { kind: "expired" };
    if (!known && this.#isFull(keyId.customer)) {
      return { kind: "full", retryAfterMs: this.#options.ttlMs };
    }
    const attempt = (known?.attempt ?? 0) + 1;
    const { fingerprint } = options;
    const status = { kind: "running" } as const;
    this.#setUsed({ keyId, mintedAtMs, fingerprint, attempt, status });
    return { kind: "run", attempt };
  }

  /**
   * Notes how an attempt has ended. A late ending of an earlier attempt and a
   * second ending change nothing, but `completed` after `unknown` does.
   *
   * @param keyId Customer and key.
   * @param options The attempt from {@link begin} and its ending.
   */
  finish(
    keyId: KeyId,
    options: { readonly attempt: number; readonly ending: MintedEnding },
  ): void {
    const known = this.#used.get(keyId.key);
    if (!known || known.keyId.customer !== keyId.customer) return;
    if (known.attempt !== options.attempt) return;
    const { kind } = known.status;
    const isLateTruth = kind === "unknown" &&
      options.ending.kind === "completed";
    if (kind !== "running" && !isLateTruth) return;
    this.#used.set(keyId.key, { ...known, status: options.ending });
  }

  /** What became of a key here; undefined if it is not begun or forgotten. */
  findStatus(keyId: KeyId): MintedStatus | undefined {
    const known = this.#used.get(keyId.key);
    if (!known || known.keyId.customer !== keyId.customer) return undefined;
    return known.status.kind === "not_run" ? undefined : known.status;
  }

  /** Begins nothing from now on; what runs may still finish. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * What neighbours need in order to answer for this instance.
   *
   * @throws {Error} Unless closed: an unused key could still begin.
   */
  exportAnswers(): ExportedAnswers {
    if (!this.#isClosed) throw new Error("Cannot export answers before close");
    const answers = [...this.#used.values()].map(({ keyId, status }) => ({
      keyId,
      status: formatForExport(status),
    }));
    const { instance, ttlMs } = this.#options;
    return { instance, answers, unusedClosedFromMs: this.#latest - ttlMs };
  }

  /**
   * Forgets ended keys that may not begin again; bounds memory.
   *
   * @param now The monotonic time.
   */
  prune(now: number): void {
    const oldest = this.#updateClock(now) - this.#options.ttlMs;
    for (const [key, used] of this.#used) {
      if (used.mintedAtMs >= oldest || used.status.kind === "running") continue;
      this.#used.delete(key);
      this.#countUsed(used.keyId.customer, -1);
    }
  }

  #updateClock(now: number): number {
    this.#latest = Math.max(this.#latest, Math.floor(now));
    return this.#latest;
  }

  /** One customer that begins too many keys is refused; others are not. */
  #isFull(customer: CustomerId): boolean {
    const used = this.#usedByCustomer.get(customer) ?? 0;
    return used >= this.#options.maxUsed;
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

  #parseOwnKey({ key, customer }: KeyId): number | undefined {
    const parsed = parseKey(key);
    if (parsed.isErr() || parsed.value.kind !== "minted") return undefined;
    const { instance, mintedAtMs, serial } = parsed.value;
    if (instance !== this.#options.instance) return undefined;
    const [number] = serial.split("-");
    const expected = this.#formatKey({ customer, mintedAtMs, number });
    return isSameText(key, expected) ? mintedAtMs : undefined;
  }

  #formatKey(
    parts: { customer: CustomerId; mintedAtMs: number; number: string },
  ): string {
    const { customer, mintedAtMs, number } = parts;
    const { instance, secret } = this.#options;
    const binding = createHmac("sha256", secret)
      .update(JSON.stringify([instance, mintedAtMs, number, customer]))
      .digest("base64url")
      .slice(0, BINDING_LENGTH);
    const serial = `${number}-${binding}`;
    return formatMintedKey({ instance, mintedAtMs, serial });
  }
}

function isSameText(left: string, right: string): boolean {
  if (left.length !== right.length) return false;
  return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/** What still runs at the export may yet end either way. */
function formatForExport(status: UsedKey["status"]): MintedStatus {
  if (status.kind === "running") return { kind: "unknown" };
  if (status.kind === "not_run") return { kind: "closed" };
  return status;
}
