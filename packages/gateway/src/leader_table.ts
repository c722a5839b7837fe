/**
 * Which VM leads each shard of a pool, and the load that it last reported.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as serving from "@sardinestep/serving";
import type { ServiceId, ZoneId } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import type { SiteState } from "./site_state.ts";

/**
 * Age from which a load report no longer proves that its leader is alive, in
 * milliseconds. One VM of a zone receives the reports of other zones' leaders every
 * 250 ms; the rest of the zone gets them from it up to 250 ms later.
 */
const LOAD_MAX_AGE_MS = 1_500;
/** Time in which a starting VM receives the views of the candidates, in ms. */
export const STARTUP_DISCOVERY_MS = 1_500;
/** Unconfirmed candidates that a starting VM tries before it becomes the leader. */
const MAX_UNCONFIRMED_TRIES = 2;

interface KnownLoad extends serving.ShardLoad {
  readonly leader: string;
  readonly receivedAt: number;
  /** Received from the leader itself, so it may be passed on. */
  readonly isDirect: boolean;
}

/** A load and the time since it was received. */
export interface ReportedLoad {
  readonly load: serving.PoolLoad;
  readonly ageMs: number;
}

/** What {@link LeaderTable} needs. */
export interface LeaderTableOptions {
  readonly member: serving.ServingMember;
  readonly site: SiteState;
  readonly events: logger.EventLog;
  /** Whether a VM is known to be alive and accepts new work. */
  readonly isAlive: (vmId: string) => boolean;
  /** Load of a shard that this VM leads. */
  readonly getOwnLoad: (
    service: ServiceId,
    shard: serving.ShardId,
  ) => serving.PoolLoad;
}

/** Tracks the leaders of all shards. */
export class LeaderTable {
  readonly #options: LeaderTableOptions;
  readonly #rankings = new Map<string, readonly serving.ServingMember[]>();
  readonly #loads = new Map<string, KnownLoad>();
  readonly #lastLeaders = new Map<string, string>();
  readonly #createdAt = performance.now();
  #memberVersion = -1;
  #isSharded = false;

  /** @param options This VM, the members and their liveness. */
  constructor(options: LeaderTableOptions) {
    this.#options = options;
  }

  /** Zones that have members. */
  get zones(): ReadonlySet<ZoneId> {
    return new Set(this.#options.site.members.map((member) => member.zone));
  }

  /** Gives the shard of a pool to which a zone belongs. */
  getShard(zone: ZoneId): serving.ShardId {
    this.#syncMembers();
    return this.#isSharded ? zone : serving.WHOLE_POOL;
  }

  /** Members that may lead a shard, in order of preference. */
  getRanking(
    service: ServiceId,
    shard: serving.ShardId,
  ): readonly serving.ServingMember[] {
    const { site } = this.#options;
    return this.#getCachedRanking(
      `${service}\0${shard}`,
      () => serving.planLeaders(service, site.members, shard),
    );
  }

  /** Members of this zone that may read the registry, in order of preference. */
  getRegistryReaders(): readonly serving.ServingMember[] {
    const { site, member } = this.#options;
    return this.#getCachedRanking(
      "",
      () => serving.planReaders(member.zone, site.members),
    );
  }

  /**
   * Gives the VM that leads a shard, according to this VM's view.
   *
   * @param service The pool.
   * @param shard A shard of the pool.
   * @param failed VMs at which the caller's attempts have just failed.
   * @returns The first candidate that is known to be alive, if that is another VM.
   * Otherwise, if this VM's view may be outdated (another zone's shard, or this VM
   * has just started): the first candidate that has not failed. Without such a
   * candidate: this VM for its own shard, undefined for another zone's shard.
   */
  pickLeader(
    service: ServiceId,
    shard: serving.ShardId,
    failed: ReadonlySet<string> = new Set(),
  ): serving.ServingMember | undefined {
    const { member } = this.#options;
    const isOwnShard = shard === serving.WHOLE_POOL || shard === member.zone;
    const candidates = this.getRanking(service, shard)
      .filter((candidate) => !failed.has(candidate.vmId));
    const confirmed = candidates
      .find((candidate) => this.#isLeading(candidate.vmId, service, shard));
    const mayBeOutdated = !isOwnShard || this.#isStarting(failed);
    const unconfirmed = mayBeOutdated ? candidates[0] : undefined;
    const leader = confirmed !== undefined && confirmed.vmId !== member.vmId
      ? confirmed
      : unconfirmed ?? (isOwnShard ? member : undefined);
    if (leader !== undefined) this.#recordLeader(service, shard, leader.vmId);
    return leader;
  }

  /**
   * Whether this VM has just started, so that it tries candidates without a view.
   * Otherwise every VM would lead after a power loss of the whole site: none has
   * received a view yet, so each would call the endpoints itself, with calls of one
   * piece and full endpoints as the result. The candidates start at the same time
   * as this VM; one that has not started refuses the connection at once.
   */
  #isStarting(failed: ReadonlySet<string>): boolean {
    const ageMs = performance.now() - this.#createdAt;
    return ageMs < STARTUP_DISCOVERY_MS && failed.size < MAX_UNCONFIRMED_TRIES;
  }

  /** Load of a shard as last reported by its leader, if that is recent. */
  getLoad(
    service: ServiceId,
    shard: serving.ShardId,
  ): serving.PoolLoad | undefined {
    const leader = this.pickLeader(service, shard);
    if (leader?.vmId === this.#options.member.vmId) {
      return this.#options.getOwnLoad(service, shard);
    }
    return this.#findRecentLoad(service, shard)?.load;
  }

  /**
   * Picks the shard that runs a pool's pieces for a zone: the zone's own, or the
   * least loaded one if the zone has no endpoint of the pool.
   */
  pickShard(service: ServiceId, zone: ZoneId): serving.ShardId {
    const shard = this.getShard(zone);
    if (shard === serving.WHOLE_POOL) return shard;
    const isUsable = (candidate: ZoneId) =>
      (this.getLoad(service, candidate)?.endpoints ?? 0) > 0;
    if (isUsable(zone)) return zone;
    const getWait = (candidate: ZoneId) =>
      this.getLoad(service, candidate)?.sizes.at(-1)?.late.waitMs ?? 0;
    const others = [...this.zones].filter(isUsable);
    return others.sort((a, b) => getWait(a) - getWait(b))[0] ?? zone;
  }

  /** Records the loads in a view: the sender's own and those it passes on. */
  recordLoads(view: serving.MemberView, now: number): void {
    const leader = view.member.vmId;
    for (const load of view.loads) {
      this.#addLoad({ ...load, leader, receivedAt: now, isDirect: true });
    }
    for (const { ageMs, ...load } of view.heard) {
      this.#addLoad({ ...load, receivedAt: now - ageMs, isDirect: false });
    }
  }

  /** Last load that another VM reported of a shard, of any age. */
  findReportedLoad(
    service: ServiceId,
    shard: serving.ShardId,
  ): ReportedLoad | undefined {
    const known = this.#loads.get(`${service}\0${shard}`);
    if (known === undefined) return undefined;
    return { load: known.load, ageMs: performance.now() - known.receivedAt };
  }

  /** Recent loads that this VM received directly from other zones' leaders. */
  getDirectLoads(): serving.RelayedLoad[] {
    const now = performance.now();
    const { zone } = this.#options.member;
    return [...this.#loads.values()]
      .filter((known) =>
        known.isDirect && known.shard !== zone && isRecent(known, now)
      )
      .map(({ service, shard, load, leader, receivedAt }) => ({
        service,
        shard,
        load,
        leader,
        ageMs: Math.round(now - receivedAt),
      }));
  }

  #addLoad(load: KnownLoad): void {
    const key = `${load.service}\0${load.shard}`;
    const before = this.#loads.get(key);
    if (before !== undefined && before.receivedAt > load.receivedAt) return;
    this.#loads.set(key, load);
  }

  #findRecentLoad(
    service: ServiceId,
    shard: serving.ShardId,
  ): KnownLoad | undefined {
    const known = this.#loads.get(`${service}\0${shard}`);
    if (known === undefined) return undefined;
    return isRecent(known, performance.now()) ? known : undefined;
  }

  /** Another zone's leader may be known to this VM by its load report alone. */
  #isLeading(
    vmId: string,
    service: ServiceId,
    shard: serving.ShardId,
  ): boolean {
    if (this.#options.isAlive(vmId)) return true;
    if (shard === this.#options.member.zone) return false;
    return this.#findRecentLoad(service, shard)?.leader === vmId;
  }

  #syncMembers(): void {
    const { members, memberVersion } = this.#options.site;
    if (memberVersion === this.#memberVersion) return;
    this.#memberVersion = memberVersion;
    this.#rankings.clear();
    this.#isSharded = serving.isSharded(members);
  }

  #getCachedRanking(
    key: string,
    plan: () => readonly serving.ServingMember[],
  ): readonly serving.ServingMember[] {
    this.#syncMembers();
    const ranking = this.#rankings.get(key) ?? plan();
    this.#rankings.set(key, ranking);
    return ranking;
  }

  #recordLeader(
    service: ServiceId,
    shard: serving.ShardId,
    leader: string,
  ): void {
    const key = `${service}\0${shard}`;
    const before = this.#lastLeaders.get(key);
    if (before === leader) return;
    this.#lastLeaders.set(key, leader);
    this.#options.events.write(EVENT.leaderChanged, {
      service,
      shard,
      leader,
      before,
    });
  }
}

function isRecent(load: KnownLoad, now: number): boolean {
  return now - load.receivedAt < LOAD_MAX_AGE_MS;
}
