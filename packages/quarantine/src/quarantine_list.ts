/**
 * Requests that are refused because they crash the endpoints that run them.
 *
 * @module
 */
import type { Fingerprint } from "./fingerprint.ts";

/**
 * Quarantine of a request. It uses wall-clock time because it outlives processes.
 */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Start of the quarantine, in Unix milliseconds. */
  readonly sinceUnixMs: number;
  /** How long the request is refused, followed by a probation of equal length. */
  readonly holdMs: number;
  /** Number of endpoint crashes that it caused. */
  readonly crashes: number;
}

interface KnownEntry {
  readonly entry: QuarantineEntry;
  /** Whether the registry keeps the entry. */
  readonly isStored: boolean;
}

/** Length of a first quarantine; doubles with each further one. */
const FIRST_HOLD_MS = 600_000;
const MAX_HOLD_MS = 86_400_000;
const MAX_ENTRIES = 1_024;

/**
 * Plans the quarantine of a request.
 *
 * @param facts The entry without its length.
 * @param previous The last quarantine of the request, if there was one.
 */
export function buildQuarantineEntry(
  facts: Omit<QuarantineEntry, "holdMs">,
  previous?: QuarantineEntry,
): QuarantineEntry {
  const holdMs = previous === undefined
    ? FIRST_HOLD_MS
    : Math.min(MAX_HOLD_MS, previous.holdMs * 2);
  return { ...facts, holdMs };
}

/** Quarantined requests, and which of them are stored in the registry. */
export class QuarantineList {
  readonly #entries = new Map<Fingerprint, KnownEntry>();

  /** Returns the requests that are refused now. */
  getRefused(unixMs: number): ReadonlySet<Fingerprint> {
    return this.#select((entry) => getRemainingMs(entry, unixMs) > 0);
  }

  /** Returns requests that may run again, but are refused after one more crash. */
  getOnProbation(unixMs: number): ReadonlySet<Fingerprint> {
    return this.#select((entry) => getRemainingMs(entry, unixMs) === 0);
  }

  /** Finds the quarantine of a request, including one that has ended. */
  find(fingerprint: Fingerprint): QuarantineEntry | undefined {
    return this.#entries.get(fingerprint)?.entry;
  }

  /** Returns for how many ms more a request is refused; 0 if it isn't. */
  getRemainingMs(fingerprint: Fingerprint, unixMs: number): number {
    const entry = this.find(fingerprint);
    return entry === undefined ? 0 : getRemainingMs(entry, unixMs);
  }

  /** Adds an entry that this VM decided. */
  add(entry: QuarantineEntry): void {
    this.#set(entry, false);
  }

  /** Applies an entry from the registry; returns whether it is new or changed. */
  applyStored(entry: QuarantineEntry): boolean {
    const before = this.find(entry.fingerprint);
    // This VM has since decided on a longer quarantine.
    if (before !== undefined && before.holdMs > entry.holdMs) return false;
    this.#set(entry, true);
    return before?.holdMs !== entry.holdMs;
  }

  /** Treats every entry as not stored: the registry may have lost it. */
  setUnstored(): void {
    for (const [fingerprint, { entry }] of this.#entries) {
      this.#entries.set(fingerprint, { entry, isStored: false });
    }
  }

  /** Removes an entry that was deleted from the registry. */
  removeStored(fingerprint: Fingerprint): void {
    if (this.#entries.get(fingerprint)?.isStored) {
      this.#entries.delete(fingerprint);
    }
  }

  /** Removes the stored entries that a full listing of the registry lacks. */
  removeStoredExcept(fingerprints: ReadonlySet<Fingerprint>): void {
    for (const { fingerprint } of this.getStored()) {
      if (!fingerprints.has(fingerprint)) this.removeStored(fingerprint);
    }
  }

  /** Returns the entries that are stored in the registry. */
  getStored(): QuarantineEntry[] {
    return [...this.#entries.values()]
      .filter(({ isStored }) => isStored)
      .map(({ entry }) => entry);
  }

  /** Returns the entries that are yet to be stored in the registry. */
  getPending(): QuarantineEntry[] {
    return [...this.#entries.values()]
      .filter(({ isStored }) => !isStored)
      .map(({ entry }) => entry);
  }

  /** Returns the entries whose probation has ended. */
  getExpired(unixMs: number): QuarantineEntry[] {
    return [...this.#entries.values()]
      .map(({ entry }) => entry)
      .filter(({ sinceUnixMs, holdMs }) => unixMs >= sinceUnixMs + 2 * holdMs);
  }

  #select(
    isSelected: (entry: QuarantineEntry) => boolean,
  ): ReadonlySet<Fingerprint> {
    return new Set(
      [...this.#entries.values()]
        .filter(({ entry }) => isSelected(entry))
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
