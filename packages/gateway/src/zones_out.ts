/**
 * Zones that the operator has taken out of service.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type { ZoneId } from "@sardinestep/types";
import { EVENT, type UpdateSource } from "./events.ts";

/** Endpoints of a zone that returns to service may be cold for this long. */
const ZONE_RETURN_COLD_MS = 3_000;

/** Holds the zones that are out of service, and when others returned. */
export class ZonesOut {
  readonly #events: logger.EventLog;
  readonly #zones = new Set<ZoneId>();
  readonly #returnedAt = new Map<ZoneId, number>();
  /** Zones out of service that were not read since the registry was restored. */
  readonly #unverified = new Set<ZoneId>();
  /** Those of them that a listing lacks. */
  readonly #unlisted = new Set<ZoneId>();

  /** @param events Log of changes. */
  constructor(events: logger.EventLog) {
    this.#events = events;
  }

  /** Whether a zone is out of service, so its endpoints get no requests. */
  has(zone: ZoneId): boolean {
    return this.#zones.has(zone);
  }

  /** Returns all zones that are out of service. */
  getAll(): ZoneId[] {
    return [...this.#zones];
  }

  /** Whether a zone returned so recently that its endpoints may be cold. */
  isRecentlyReturned(zone: ZoneId, now: number): boolean {
    const returnedAt = this.#returnedAt.get(zone) ?? -Infinity;
    return now - returnedAt < ZONE_RETURN_COLD_MS;
  }

  /** Takes a zone out of service or returns it to service. */
  set(zone: ZoneId, isOut: boolean, source: UpdateSource): void {
    this.#unverified.delete(zone);
    this.#unlisted.delete(zone);
    if (this.#zones.has(zone) === isOut) return;
    if (isOut) this.#zones.add(zone);
    else {
      this.#zones.delete(zone);
      this.#returnedAt.set(zone, performance.now());
    }
    this.#events.write(EVENT.zoneChanged, { zone, isOut, source });
  }

  /** Applies a listing; what it lacks stays out if it was only read before a restore. */
  applyListing(zones: ReadonlySet<ZoneId>, source: UpdateSource): void {
    for (const zone of this.getAll()) {
      if (zones.has(zone)) continue;
      if (this.#unverified.has(zone)) this.#unlisted.add(zone);
      else this.set(zone, false, source);
    }
    for (const zone of zones) this.set(zone, true, source);
  }

  /** Zones out of service that were not read since the registry was restored. */
  getUnverified(): ZoneId[] {
    return [...this.#unverified];
  }

  /** Takes zones out that another VM knows from before a restore of the registry. */
  addUnverified(zones: readonly ZoneId[], source: UpdateSource): void {
    for (const zone of zones) {
      if (this.#zones.has(zone)) continue;
      this.set(zone, true, source);
      this.#unverified.add(zone);
    }
  }

  /** Records that the registry was restored and may lack what it had listed. */
  handleRestore(): void {
    for (const zone of this.#zones) this.#unverified.add(zone);
  }

  /** Returns the zones to service that the restored registry never listed again. */
  dropUnlisted(): void {
    for (const zone of [...this.#unlisted]) this.set(zone, false, "registry");
    this.#unverified.clear();
  }
}
