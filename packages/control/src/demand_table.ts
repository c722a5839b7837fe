/**
 * What customers ask for at each entry, as controls tell each other.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { VmId } from "@sardinestep/types";

/** Older demand counts as none: its entry is gone or silent. */
const DEMAND_KEPT_MS = 2_000;

interface DemandRow {
  readonly entry: rpc.EntryDemand;
  readonly heardAt: number;
  readonly isDirect: boolean;
}

/**
 * Keeps the newest demand of every entry for a short time.
 *
 * It lets entries slice customers' shares and endpoints' capacity by demand, so
 * that a customer whose requests all come in by one entry gets its whole share.
 */
export class DemandTable {
  readonly #rows = new Map<VmId, DemandRow>();

  /** Notes the demand of an entry that is connected to this control. */
  setDirect(entry: rpc.EntryDemand, now: number): void {
    this.#rows.set(entry.vmId, { entry, heardAt: now, isDirect: true });
  }

  /** Takes over what another control tells; an own connection knows better. */
  applyGossip(entries: readonly rpc.EntryDemand[], now: number): void {
    for (const entry of entries) {
      const known = this.#rows.get(entry.vmId);
      const isKnownBetter = known?.isDirect && isKept(known, now);
      if (isKnownBetter) continue;
      this.#rows.set(entry.vmId, { entry, heardAt: now, isDirect: false });
    }
  }

  /** Demand at entries that are connected to this control, for gossip. */
  getDirect(now: number): rpc.EntryDemand[] {
    return this.#getKept(now).filter((row) => row.isDirect)
      .map((row) => row.entry);
  }

  /** Demand at all entries but one. */
  getOthers(vmId: VmId, now: number): rpc.EntryDemand[] {
    return this.#getKept(now).map((row) => row.entry)
      .filter((entry) => entry.vmId !== vmId);
  }

  #getKept(now: number): DemandRow[] {
    for (const [vmId, row] of this.#rows) {
      if (!isKept(row, now)) this.#rows.delete(vmId);
    }
    return [...this.#rows.values()];
  }
}

function isKept(row: DemandRow, now: number): boolean {
  return now - row.heardAt <= DEMAND_KEPT_MS;
}
