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

/** How often it is looked whether an endpoint takes a call again, in ms. */
const LIMITED_MS = 100;

/** What {@link ResultReleases} may ask and tell. */
export interface ResultReleasesOptions {
  /** Whether a call to an endpoint may start now; counts it if so. */
  readonly startCall?: (address: Address) => boolean;
  /**
   * An endpoint has given its room back, or could not be told; it drops results by
   * itself after a while then.
   */
  readonly handleReleased?: (handles: readonly string[]) => void;
}

/** Gathers handles by endpoint and releases them. */
export class ResultReleases {
  readonly #wire: ServingWire;
  readonly #options: ResultReleasesOptions;
  readonly #pending = new Map<Address, string[]>();
  #timer: NodeJS.Timeout | undefined;

  /** @param wire Speaks to the endpoints. @param options When, and what then. */
  constructor(wire: ServingWire, options: ResultReleasesOptions = {}) {
    this.#wire = wire;
    this.#options = options;
  }

  /** Adds results that nobody will read. */
  add(handles: readonly string[]): void {
    for (const handle of handles) {
      const address = this.#wire.getResultAddress(handle);
      const own = this.#pending.get(address) ?? [];
      own.push(handle);
      this.#pending.set(address, own);
    }
    this.#planFlush(GATHER_MS);
  }

  #planFlush(inMs: number): void {
    if (this.#pending.size === 0) return;
    this.#timer ??= setTimeout(() => this.#flush(), inMs).unref();
  }

  #flush(): void {
    this.#timer = undefined;
    const { startCall, handleReleased } = this.#options;
    for (const [address, handles] of [...this.#pending]) {
      if (startCall?.(address) === false) continue;
      this.#pending.delete(address);
      void this.#wire.releaseResults(address, handles)
        .then(() => handleReleased?.(handles));
    }
    this.#planFlush(LIMITED_MS);
  }
}
