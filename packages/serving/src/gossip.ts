/**
 * Selection of what VMs send each other of a table of small facts.
 *
 * @module
 */

/** A fact that other VMs need. */
export interface GossipEntry {
  /** Monotonic time of the last change. */
  readonly changedAt: number;
}

/** Options of an exchange. */
export interface GossipOptions {
  /** Whether the receiver has just started and knows none of the facts. */
  readonly isForStart?: boolean;
}

/** Options of {@link Gossip.pick}. */
export interface GossipPickOptions<T> extends GossipOptions {
  readonly now: number;
  /** Whether an entry is still sent after its change was. */
  readonly isCurrent: (entry: T) => boolean;
}

/** How long a change is sent with each exchange, in milliseconds. */
const SEND_CHANGE_MS = 1_500;
/** Interval at which the other entries are sent, for VMs that missed a change. */
const SEND_ALL_INTERVAL_MS = 2_000;
/** Most entries of one exchange; the latest changes come first. */
const MAX_SENT_ENTRIES = 64;

/** Picks the entries of one table for each exchange. */
export class Gossip<T extends GossipEntry> {
  #allSentAt = -Infinity;
  #nextIndex = 0;

  /**
   * Returns the entries to send; undefined if there are none.
   *
   * Changes are sent at once. Entries that exceed an exchange are sent in turn.
   */
  pick(entries: readonly T[], options: GossipPickOptions<T>): T[] | undefined {
    const { now, isCurrent, isForStart = false } = options;
    if (entries.length === 0) return undefined;
    const isRecent = ({ changedAt }: T) => now - changedAt < SEND_CHANGE_MS;
    const recent = entries.filter(isRecent)
      .sort((a, b) => b.changedAt - a.changedAt)
      .slice(0, MAX_SENT_ENTRIES);
    const others = this.#isSendAllDue(now) || isForStart
      ? entries.filter((entry) => !isRecent(entry) && isCurrent(entry))
      : [];
    const picked = [
      ...recent,
      ...this.#pickInTurn(others, MAX_SENT_ENTRIES - recent.length),
    ];
    return picked.length === 0 ? undefined : picked;
  }

  #isSendAllDue(now: number): boolean {
    if (now - this.#allSentAt < SEND_ALL_INTERVAL_MS) return false;
    this.#allSentAt = now;
    return true;
  }

  #pickInTurn(entries: readonly T[], count: number): readonly T[] {
    if (entries.length <= count) return entries;
    const start = this.#nextIndex % entries.length;
    this.#nextIndex = start + count;
    return [...entries.slice(start), ...entries.slice(0, start)].slice(
      0,
      count,
    );
  }
}
