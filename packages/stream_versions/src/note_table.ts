/**
 * Stream notes that a VM keeps, for a bounded time in bounded memory.
 *
 * @module
 */
import type { StreamKey, StreamNote, VersionTag } from "./stream_note.ts";

/**
 * How long a note is kept after it was last recorded, in milliseconds: callers take a
 * stream up again within the time that they wait for it.
 */
export const NOTE_TTL_MS = 60_000;
/** Most notes of a VM, some 200 bytes each. */
export const MAX_NOTES = 16_384;

interface KnownNote {
  readonly version: VersionTag;
  /** Whether the attempt was recorded at another version too. */
  readonly isAmbiguous: boolean;
  readonly recordedAt: number;
}

/** Keeps notes, the most recent last. */
export class NoteTable {
  readonly #notes = new Map<StreamKey, KnownNote>();

  /** Number of notes. */
  get size(): number {
    return this.#notes.size;
  }

  /**
   * Records notes. Two versions of one attempt are no knowledge of either.
   *
   * @param notes Notes of this VM or another.
   * @param now Monotonic time, in milliseconds.
   */
  record(notes: readonly StreamNote[], now: number): void {
    for (const { key, version } of notes) {
      const known = this.#notes.get(key);
      const isAmbiguous = known !== undefined &&
        (known.isAmbiguous || known.version !== version);
      this.#notes.delete(key);
      this.#notes.set(key, { version, isAmbiguous, recordedAt: now });
    }
    this.#drop(now);
  }

  /** Finds the version of an attempt; undefined if it isn't known for certain. */
  find(key: StreamKey, now: number): VersionTag | undefined {
    const known = this.#notes.get(key);
    if (known === undefined || known.isAmbiguous) return undefined;
    return now - known.recordedAt < NOTE_TTL_MS ? known.version : undefined;
  }

  /** Returns all notes, for VMs that take them over. */
  getAll(now: number): StreamNote[] {
    this.#drop(now);
    return [...this.#notes]
      .filter(([, { isAmbiguous }]) => !isAmbiguous)
      .map(([key, { version }]) => ({ key, version }));
  }

  #drop(now: number): void {
    for (const [key, { recordedAt }] of this.#notes) {
      const isOld = now - recordedAt >= NOTE_TTL_MS;
      if (!isOld && this.#notes.size <= MAX_NOTES) return;
      this.#notes.delete(key);
    }
  }
}
