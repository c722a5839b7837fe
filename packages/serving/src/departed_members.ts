/**
 * VMs that are no longer members and may still send requests.
 *
 * @module
 */

/** A VM that is no longer a member. */
export interface DepartedMember {
  readonly vmId: string;
  /** Time since it was a member, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Remembers VMs for the grace period after they were members. A VM leaves when its
 * stop begins, and serves what it has until the stop ends.
 *
 * @example
 * ```ts
 * departed.record("vm-2", 0);
 * departed.getIds(7_999); // ["vm-2"]
 * ```
 */
export class DepartedMembers {
  readonly #departedAt = new Map<string, number>();
  #graceMs: number;

  /** @param graceMs Longest time for which a VM that stops sends, in milliseconds. */
  constructor(graceMs: number) {
    this.#graceMs = graceMs;
  }

  /** Sets the grace period, also of VMs that have departed. */
  setGraceMs(graceMs: number): void {
    this.#graceMs = graceMs;
  }

  /** Records that a VM ceased to be a member. */
  record(vmId: string, now: number): void {
    this.#departedAt.set(vmId, now);
  }

  /** Removes a VM that is a member again. */
  remove(vmId: string): void {
    this.#departedAt.delete(vmId);
  }

  /** Returns the VMs that may still send. */
  getIds(now: number): readonly string[] {
    return this.#getCurrent(now).map(([vmId]) => vmId);
  }

  /** Returns what a VM that starts has to know; undefined if there is nothing. */
  getUpdates(now: number): readonly DepartedMember[] | undefined {
    const updates = this.#getCurrent(now)
      .map(([vmId, departedAt]) => ({ vmId, ageMs: now - departedAt }));
    return updates.length === 0 ? undefined : updates;
  }

  /** Merges another VM's updates, which don't extend a known grace period. */
  mergeUpdates(updates: readonly DepartedMember[], now: number): void {
    for (const { vmId, ageMs } of updates) {
      if (!this.#departedAt.has(vmId)) this.record(vmId, now - ageMs);
    }
  }

  #getCurrent(now: number): readonly (readonly [string, number])[] {
    for (const [vmId, departedAt] of this.#departedAt) {
      if (now - departedAt >= this.#graceMs) this.#departedAt.delete(vmId);
    }
    return [...this.#departedAt];
  }
}
