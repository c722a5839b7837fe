/**
 * Releases results at the endpoints that keep them, in batches.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import type { EndpointNotices, WireAdapter } from "./ports.ts";

/**
 * How long handles are collected, in milliseconds. Results of one call are released
 * together, so about ten share one request; their space stays in use that much
 * longer.
 */
const BATCH_DELAY_MS = 5;

/** Retry interval while an endpoint's rate limit allows no call, in ms. */
const RATE_LIMIT_RETRY_MS = 100;

/** Hooks of {@link ResultReleaser}. */
export interface ResultReleaserOptions {
  /** Whether a call to an endpoint may start now; if so, it is counted. */
  readonly tryStartCall?: (address: Address) => boolean;
  /**
   * Called when an endpoint has freed the space, or could not be reached; then it
   * drops the results by itself after a while.
   */
  readonly handleReleased?: (handles: readonly string[]) => void;
  /** Called with what an endpoint states in its answer. */
  readonly handleNotices?: (
    address: Address,
    notices: EndpointNotices,
  ) => void;
}

/** Collects handles by endpoint and releases them in batches. */
export class ResultReleaser {
  readonly #wire: WireAdapter;
  readonly #options: ResultReleaserOptions;
  readonly #pending = new Map<Address, string[]>();
  #timer: NodeJS.Timeout | undefined;

  /** @param wire Sends the releases. @param options Rate limit and callback. */
  constructor(wire: WireAdapter, options: ResultReleaserOptions = {}) {
    this.#wire = wire;
    this.#options = options;
  }

  /** Adds results that are no longer needed. */
  add(handles: readonly string[]): void {
    for (const handle of handles) {
      const address = this.#wire.getResultAddress(handle);
      const sameAddress = this.#pending.get(address) ?? [];
      sameAddress.push(handle);
      this.#pending.set(address, sameAddress);
    }
    this.#scheduleFlush(BATCH_DELAY_MS);
  }

  #scheduleFlush(delayMs: number): void {
    if (this.#pending.size === 0) return;
    this.#timer ??= setTimeout(() => this.#flush(), delayMs).unref();
  }

  #flush(): void {
    this.#timer = undefined;
    for (const [address, handles] of [...this.#pending]) {
      if (this.#options.tryStartCall?.(address) === false) continue;
      this.#pending.delete(address);
      void this.#release(address, handles);
    }
    this.#scheduleFlush(RATE_LIMIT_RETRY_MS);
  }

  async #release(address: Address, handles: readonly string[]): Promise<void> {
    const { handleReleased, handleNotices } = this.#options;
    const notices = await this.#wire.releaseResults(address, handles);
    if (notices !== undefined) handleNotices?.(address, notices);
    handleReleased?.(handles);
  }
}
