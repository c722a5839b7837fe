/**
 * Requests that are refused because they crash their endpoints.
 *
 * @module
 */
import type { Fingerprint } from "./fingerprint.ts";

/** A request in quarantine. Times are of day, since they outlast processes. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Unix millisecond of the verdict. */
  readonly sinceUnixMs: number;
  /** How long it is refused; as long again it is on probation. */
  readonly holdMs: number;
  /** Endpoints that crashed under it. */
  readonly crashes: number;
}

interface KnownEntry {
  readonly entry: QuarantineEntry;
  readonly isStored: boolean;
}

/** First time in quarantine, in milliseconds; doubles with each further one. */
const HOLD_MS = 600_000;
const MAX_HOLD_MS = 86_400_000;
const MAX_ENTRIES = 1_024;

/**
 * Plans the quarantine of a request.
 *
 * @param before Its last quarantine, if it had one.
 */
export function planEntry(
  facts: Omit<QuarantineEntry, "holdMs">,
  before?: QuarantineEntry,
): QuarantineEntry {
  const holdMs = before === undefined
    ? HOLD_MS
    : Math.min(MAX_HOLD_MS, before.holdMs * 2);
  return { ...facts, holdMs };
}

/** Knows which requests are refused, and which of them the registry keeps. */
export class QuarantineList {
  readonly #entries = new Map<Fingerprint, KnownEntry>();

  /** Requests that are refused. */
  getHeld(unixMs: number): ReadonlySet<Fingerprint> {
    return this.#select((entry) => getRemainingMs(entry, unixMs) > 0);
  }

  /** Requests that run again and are refused after one more crash. */
  getOnProbation(unixMs: number): ReadonlySet<Fingerprint> {
    return this.#select((entry) => getRemainingMs(entry, unixMs) === 0);
  }

  /** Finds the quarantine of a request, also one that is over. */
  find(fingerprint: Fingerprint): QuarantineEntry | undefined {
    return this.#entries.get(fingerprint)?.entry;
  }

  /** Time for which a request is refused yet, in milliseconds; 0 where it isn't. */
  getRemainingMs(fingerprint: Fingerprint, unixMs: number): number {
    const entry = this.find(fingerprint);
    return entry === undefined ? 0 : getRemainingMs(entry, unixMs);
  }

  /** Adds what this VM has decided. */
  add(entry: QuarantineEntry): void {
    this.#set(entry, false);
  }

  /** Takes over what the registry keeps; gives whether it is new here. */
  applyStored(entry: QuarantineEntry): boolean {
    const before = this.find(entry.fingerprint);
    // This VM has decided again meanwhile.
    if (before !== undefined && before.holdMs > entry.holdMs) return false;
    this.#set(entry, true);
    return before?.holdMs !== entry.holdMs;
  }

  /** Removes an entry that the registry no longer keeps. */
  removeStored(fingerprint: Fingerprint): void {
    if (this.#entries.get(fingerprint)?.isStored) {
      this.#entries.delete(fingerprint);
    }
  }

  /** Drops what the registry kept once and a whole listing doesn't name. */
  keepStored(fingerprints: ReadonlySet<Fingerprint>): void {
    for (const { fingerprint } of this.getStored()) {
      if (!fingerprints.has(fingerprint)) this.removeStored(fingerprint);
    }
  }

  /** Entries that the registry keeps. */
  getStored(): QuarantineEntry[] {
    return [...this.#entries.values()]
      .filter(({ isStored }) => isStored)
      .map(({ entry }) => entry);
  }

  /** Entries that the registry has yet to take. */
  getPending(): QuarantineEntry[] {
    return [...this.#entries.values()]
      .filter(({ isStored }) => !isStored)
      .map(({ entry }) => entry);
  }

  /** Entries whose probation is over. */
  getExpired(unixMs: number): QuarantineEntry[] {
    return [...this.#entries.values()]
      .map(({ entry }) => entry)
      .filter(({ sinceUnixMs, holdMs }) => unixMs >= sinceUnixMs + 2 * holdMs);
  }

  #select(
    holds: (entry: QuarantineEntry) => boolean,
  ): ReadonlySet<Fingerprint> {
    return new Set(
      [...this.#entries.values()]
        .filter(({ entry }) => holds(entry))
        .map(({ entry }) => entry.fingerprint),
    );
  }

  #set(entry: QuarantineEntry, isStored: boolean): void {
    this.#entries.delete(entry.fingerprint);
    this.#entries.set(entry.fingerprint, { entry, isStored });
    if (this.#entries.size <= MAX_ENTRIES) return;
    this.#entries.delete(this.#entries.keys().next().value!);
  }
}

function getRemainingMs(
  { sinceUnixMs, holdMs }: QuarantineEntry,
  unixMs: number,
): number {
  return Math.max(0, sinceUnixMs + holdMs - unixMs);
}
