/**
 * Customer demand at each entry, shared between controls by gossip.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { VmId } from "@sardinestep/types";

/** Older demand counts as zero: its entry is gone or unreachable. */
const DEMAND_TTL_MS = 2_000;

interface DemandRow {
  readonly entry: rpc.EntryDemand;
  readonly receivedAt: number;
  readonly isDirect: boolean;
}

/**
 * Keeps the newest demand of every entry for a short time.
 *
 * Entries divide customer limits and endpoint capacity among themselves by
 * this demand, so that a customer whose requests all arrive at one entry gets
 * its whole share.
 */
export class DemandTable {
  readonly #rows = new Map<VmId, DemandRow>();

  /** Sets the demand of an entry that is connected to this control. */
  setDirect(entry: rpc.EntryDemand, now: number): void {
    this.#rows.set(entry.vmId, { entry, receivedAt: now, isDirect: true });
  }

  /** Merges demand from another control; direct demand takes precedence. */
  applyGossip(entries: readonly rpc.EntryDemand[], now: number): void {
    for (const entry of entries) {
      const known = this.#rows.get(entry.vmId);
      const isKnownDirectly = known?.isDirect && isCurrent(known, now);
      if (isKnownDirectly) continue;
      this.#rows.set(entry.vmId, { entry, receivedAt: now, isDirect: false });
    }
  }

  /** Returns the demand at entries connected to this control, for gossip. */
  getDirect(now: number): rpc.EntryDemand[] {
    return this.#getCurrent(now).filter((row) => row.isDirect)
      .map((row) => row.entry);
  }

  /** Returns the demand at all entries except one. */
  getOthers(vmId: VmId, now: number): rpc.EntryDemand[] {
    return this.#getCurrent(now).map((row) => row.entry)
      .filter((entry) => entry.vmId !== vmId);
  }

  #getCurrent(now: number): DemandRow[] {
    for (const [vmId, row] of this.#rows) {
      if (!isCurrent(row, now)) this.#rows.delete(vmId);
    }
    return [...this.#rows.values()];
  }
}

function isCurrent(row: DemandRow, now: number): boolean {
  return now - row.receivedAt <= DEMAND_TTL_MS;
}
