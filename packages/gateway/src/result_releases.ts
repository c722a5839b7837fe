/**
 * Gives up results at the endpoints that keep them, many in one call.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import type { ServingWire } from "./ports.ts";

/**
 * How long handles are gathered, in milliseconds. Results of one call end
 * together, so this makes one call of some ten; the room is held as much longer.
 */
const GATHER_MS = 5;

/** Gathers handles by endpoint and releases them. */
export class ResultReleases {
  readonly #wire: ServingWire;
  readonly #handleReleased: (handles: readonly string[]) => void;
  readonly #pending = new Map<Address, string[]>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param wire Speaks to the endpoints.
   * @param handleReleased Called when an endpoint has given its room back, or
   * could not be told; it drops results by itself after a while then.
   */
  constructor(
    wire: ServingWire,
    handleReleased: (handles: readonly string[]) => void = () => {},
  ) {
    this.#wire = wire;
    this.#handleReleased = handleReleased;
  }

  /** Adds results that nobody will read. */
  add(handles: readonly string[]): void {
    for (const handle of handles) {
      const address = this.#wire.getResultAddress(handle);
      const own = this.#pending.get(address) ?? [];
      own.push(handle);
      this.#pending.set(address, own);
    }
    if (this.#pending.size === 0) return;
    this.#timer ??= setTimeout(() => this.#flush(), GATHER_MS);
  }

  #flush(): void {
    this.#timer = undefined;
    const pending = [...this.#pending];
    this.#pending.clear();
    for (const [address, handles] of pending) {
      void this.#wire.releaseResults(address, handles)
        .then(() => this.#handleReleased(handles));
    }
  }
}
