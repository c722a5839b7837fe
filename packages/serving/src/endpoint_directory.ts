/**
 * Directory of registered endpoints, built from the registry's records.
 *
 * @module
 */
import type { Address, EndpointId, ServiceId } from "@sardinestep/types";
import type { EndpointUpdate } from "./messages.ts";
import type { ServingEndpoint } from "./model.ts";

/**
 * How long a missing record is ignored after the registry has recovered, in
 * milliseconds: records that expired during its outage are registered again within
 * two seconds, plus one read.
 */
export const EXPIRY_GRACE_MS = 2_300;

/**
 * How long after its return a restored registry may list records of the past, in
 * milliseconds; it drops those that nobody renews.
 */
export const RESTORE_GRACE_MS = 10_000;

/**
 * Most removals that are kept for other VMs. A site of 100 endpoints has fewer a
 * day; a VM that is further behind gets the whole directory.
 */
const MAX_KEPT_REMOVALS = 500;

/** An endpoint and the state of its record. */
export interface KnownEndpoint {
  readonly endpoint: ServingEndpoint;
  readonly receivedAt: number;
  /** Registry position of the last relevant change. */
  readonly changedAt: number;
  /** Time of removal; set while the record is missing in the grace period. */
  readonly dropAt?: number;
}

/** Process and count of an endpoint's record. */
type RecordVersion = Pick<ServingEndpoint, "bornMs" | "sequence">;

/** A removed record. */
interface Removal extends RecordVersion {
  readonly position: number;
  readonly dropAt: number;
}

/** Effect of a record on the directory. */
export type EndpointChange =
  | "added"
  | "restarted"
  | "draining"
  | "updated"
  | "removed"
  | "lapsed"
  | "none";

/**
 * Applies registry records to a directory of endpoints.
 *
 * Prevents two opposite faults: an endpoint that is used after it left, and a whole
 * service that disappears because its records expired during a registry outage. A
 * removal takes effect at once unless the registry has only just recovered.
 */
export class EndpointDirectory {
  readonly #endpoints = new Map<EndpointId, KnownEndpoint>();
  readonly #removals = new Map<EndpointId, Removal>();
  readonly #byService = new Map<ServiceId, readonly ServingEndpoint[]>();
  #byAddress: ReadonlyMap<Address, ServingEndpoint> | undefined;
  #recoveredAt = -Infinity;
  #restoredAt = -Infinity;
  /** Removals up to this position are no longer kept. */
  #discardedTo = -1;

  /** Records that the registry is reachable again after an outage. */
  handleRegistryRecovery(now: number): void {
    this.#recoveredAt = now;
  }

  /** Records that the registry came back from a copy, with records of the past. */
  handleRegistryRestore(now: number): void {
    this.#restoredAt = now;
    this.handleRegistryRecovery(now);
  }

  /**
   * Applies a record of a listing, which may be one of the past that a restored
   * registry has brought back.
   *
   * Guards against requests to an endpoint that has left or restarted since: its own
   * count tells such a record from a new one. Parameters are those of
   * {@link update}.
   */
  updateListed(
    endpoint: ServingEndpoint,
    now: number,
    position = 0,
  ): EndpointChange {
    const known = this.#endpoints.get(endpoint.id)?.endpoint;
    const removal = this.#removals.get(endpoint.id);
    const isOutdated = this.#isRestoring(now) &&
      (known === undefined
        ? compareVersions(endpoint, removal) <= 0
        : compareVersions(endpoint, known) < 0);
    return isOutdated ? "none" : this.update(endpoint, now, position);
  }

  /**
   * Applies a record.
   *
   * @param endpoint Content of the record.
   * @param now Monotonic time at which it was received.
   * @param position Registry position that covers the record.
   */
  update(
    endpoint: ServingEndpoint,
    now: number,
    position = 0,
  ): EndpointChange {
    const before = this.#endpoints.get(endpoint.id);
    const isSame = before !== undefined && before.dropAt === undefined &&
      endpoint.coldMs <= 0 && isEqualRecord(before.endpoint, endpoint);
    this.#endpoints.set(endpoint.id, {
      endpoint,
      receivedAt: now,
      changedAt: isSame ? before.changedAt : position,
    });
    this.#removals.delete(endpoint.id);
    if (!isSame) this.#clearIndexes();
    return getChange(before?.endpoint, endpoint);
  }

  /** Applies the removal of a record. */
  remove(id: EndpointId, now: number, position = 0): EndpointChange {
    const known = this.#endpoints.get(id);
    if (known === undefined) return "none";
    const graceAt = this.#recoveredAt + EXPIRY_GRACE_MS;
    const isImmediate = known.endpoint.isDraining || graceAt <= now;
    const { bornMs, sequence } = known.endpoint;
    return this.#recordRemoval(known, now, {
      position,
      dropAt: isImmediate ? now : graceAt,
      bornMs,
      sequence,
    });
  }

  /** Removes endpoints that a complete listing doesn't contain. */
  removeMissing(
    ids: ReadonlySet<EndpointId>,
    now: number,
    position = 0,
  ): EndpointId[] {
    const missing = [...this.#endpoints.keys()].filter((id) => !ids.has(id));
    return missing.filter((id) => this.remove(id, now, position) !== "none");
  }

  /** Drops endpoints whose records were not registered again in time. */
  removeExpired(now: number): EndpointId[] {
    const dropped = [...this.#endpoints]
      .filter(([, known]) => known.dropAt !== undefined && known.dropAt <= now)
      .map(([id]) => id);
    for (const id of dropped) this.#endpoints.delete(id);
    if (dropped.length > 0) this.#clearIndexes();
    return dropped;
  }

  /** Returns all endpoints with the age of their last record. */
  getAll(now: number): { endpoint: ServingEndpoint; ageMs: number }[] {
    return [...this.#endpoints.values()].map(({ endpoint, receivedAt }) => ({
      endpoint,
      ageMs: now - receivedAt,
    }));
  }

  /** Finds an endpoint by its id. */
  find(id: EndpointId): ServingEndpoint | undefined {
    return this.#endpoints.get(id)?.endpoint;
  }

  /**
   * Finds the endpoint that started last at an address; the record of one before it may
   * not have lapsed yet.
   */
  findByAddress(address: Address): ServingEndpoint | undefined {
    this.#byAddress ??= new Map(
      [...this.#endpoints.values()]
        .map(({ endpoint }) => endpoint)
        .sort((a, b) => (a.bornMs ?? 0) - (b.bornMs ?? 0))
        .map((endpoint) => [endpoint.address, endpoint]),
    );
    return this.#byAddress.get(address);
  }

  /** Returns the endpoints of a service, including draining ones. */
  getOfService(service: ServiceId): readonly ServingEndpoint[] {
    const cached = this.#byService.get(service);
    if (cached !== undefined) return cached;
    const found = [...this.#endpoints.values()]
      .map(({ endpoint }) => endpoint)
      .filter((endpoint) => endpoint.service === service);
    this.#byService.set(service, found);
    return found;
  }

  /** Returns what changed after a position, for another VM. */
  getUpdateSince(position: number, now: number): EndpointUpdate {
    const isWhole = position < this.#discardedTo || position < 0;
    const changed = [...this.#endpoints.values()]
      .filter((known) => isWhole || known.changedAt > position)
      .map(({ endpoint, receivedAt }) => ({
        endpoint,
        ageMs: Math.round(now - receivedAt),
      }));
    const removed = [...this.#removals]
      .filter(([, removal]) => isWhole || removal.position > position)
      .map(([id, removal]) => ({
        id,
        dropInMs: Math.round(Math.max(0, removal.dropAt - now)),
        bornMs: removal.bornMs,
        sequence: removal.sequence,
      }));
    return { changed, removed, isWhole };
  }

  /**
   * Merges changes that another VM sent.
   *
   * @param update Changes of its directory.
   * @param now Monotonic time.
   * @param position Registry position that the changes reach.
   * @returns Effects on this directory.
   */
  mergeUpdate(
    update: EndpointUpdate,
    now: number,
    position: number,
  ): { id: EndpointId; change: EndpointChange; service?: ServiceId }[] {
    const changes = update.changed.map(({ endpoint, ageMs }) => ({
      id: endpoint.id,
      service: endpoint.service,
      change: this.#mergeRecord(endpoint, { now, ageMs, position }),
    }));
    const removals = update.removed.flatMap(({ id, dropInMs, ...version }) => {
      const removal = { ...version, position, dropAt: now + dropInMs };
      const known = this.#endpoints.get(id);
      if (known === undefined) {
        this.#removals.set(id, removal);
        this.#discardOldRemovals();
        return [];
      }
      return [{ id, change: this.#recordRemoval(known, now, removal) }];
    });
    if (!update.isWhole) return [...changes, ...removals];
    const ids = new Set(update.changed.map(({ endpoint }) => endpoint.id));
    const missing = this.removeMissing(ids, now, position)
      .map((id) => ({ id, change: "removed" as const }));
    return [...changes, ...removals, ...missing];
  }

  /**
   * Applies a record that another VM has. One of a VM that started after a restore,
   * and knows nothing of before, may be outdated.
   */
  #mergeRecord(
    endpoint: ServingEndpoint,
    at: {
      readonly now: number;
      readonly ageMs: number;
      readonly position: number;
    },
  ): EndpointChange {
    const { now, ageMs, position } = at;
    const known = this.#endpoints.get(endpoint.id)?.endpoint ??
      this.#removals.get(endpoint.id);
    // A record that was lost may be written again with its old count.
    const isOutdated = this.#isRestoring(now) &&
      compareVersions(endpoint, known) < 0;
    return isOutdated ? "none" : this.update(endpoint, now - ageMs, position);
  }

  #clearIndexes(): void {
    this.#byService.clear();
    this.#byAddress = undefined;
  }

  #isRestoring(now: number): boolean {
    return now - this.#restoredAt < RESTORE_GRACE_MS;
  }

  #recordRemoval(
    known: KnownEndpoint,
    now: number,
    removal: Removal,
  ): EndpointChange {
    const { id } = known.endpoint;
    this.#removals.set(id, removal);
    this.#discardOldRemovals();
    if (removal.dropAt > now) {
      this.#endpoints.set(id, { ...known, dropAt: removal.dropAt });
      return "lapsed";
    }
    this.#endpoints.delete(id);
    this.#clearIndexes();
    return "removed";
  }

  #discardOldRemovals(): void {
    if (this.#removals.size <= MAX_KEPT_REMOVALS) return;
    const [id, removal] = this.#removals.entries().next().value!;
    this.#removals.delete(id);
    this.#discardedTo = Math.max(this.#discardedTo, removal.position);
  }
}

function isEqualRecord(a: ServingEndpoint, b: ServingEndpoint): boolean {
  return a.service === b.service && a.address === b.address &&
    a.zone === b.zone && a.slots === b.slots &&
    a.isDraining === b.isDraining && a.bornMs === b.bornMs &&
    a.version === b.version;
}

function getChange(
  before: ServingEndpoint | undefined,
  after: ServingEndpoint,
): EndpointChange {
  if (before === undefined) return "added";
  if (before.bornMs !== after.bornMs) return "restarted";
  if (!before.isDraining && after.isDraining) return "draining";
  return before.address === after.address ? "none" : "updated";
}

/**
 * Orders two records of an endpoint by its process and its own count: negative if the
 * first one is older, positive if it is newer or that is unknown.
 */
function compareVersions(
  a: RecordVersion,
  b: RecordVersion | undefined,
): number {
  const isKnown = b !== undefined && a.bornMs !== undefined &&
    b.bornMs !== undefined && a.sequence !== undefined &&
    b.sequence !== undefined;
  if (!isKnown) return 1;
  return a.bornMs - b.bornMs || a.sequence - b.sequence;
}
