/**
 * The VMs of the system as one control process sees them. No sockets and no
 * clock of its own: every call says when it is made, in monotonic milliseconds.
 *
 * @module
 */
import type {
  Address,
  InstanceId,
  MemberFacts,
  SiteId,
  VmId,
  ZoneId,
} from "@sardinestep/types";
import {
  applyInstance,
  buildFacts,
  createRow,
  fillPlace,
  type MemberPlace,
  type MemberRow,
  NEVER_HEARD,
} from "./member_row.ts";

/** A VM as the platform's list names it. */
export interface ListedMember extends MemberPlace {
  readonly state: "live" | "leaving";
}

/** Who was heard from: the identity that a process sends on a connection. */
export interface HeardIdentity {
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly instance: InstanceId;
  readonly rpc: Address;
}

/** Limits of a {@link MemberTable}. */
export interface MemberTableOptions {
  /** The VM that keeps the table. */
  readonly self: MemberPlace;
  /** A VM that nobody has heard from for so long counts as silent. */
  readonly silentAfterMs: number;
  /**
   * How long an answered call proves that a VM hears this one. At most, and by
   * default, a quarter of `silentAfterMs`; `warmup_guard.ts` has the reason.
   */
  readonly viewFreshMs?: number;
  /** A view that rests on an older list is not fresh. */
  readonly listFreshMs?: number;
  /** A VM that is neither listed nor heard from is forgotten after so long. */
  readonly forgetAfterMs?: number;
}

/** How many times `viewFreshMs` fits into `silentAfterMs` at least. */
const FRESH_PER_SILENCE = 4;
/** Ten reads of the list at the usual interval, so that one slow read is no gap. */
const LIST_FRESH_MS = 10_000;
/** Ten minutes: long enough that its former instances still refuse old gossip. */
const FORGET_AFTER_MS = 600_000;

/**
 * Which VMs live, are silent or leave.
 *
 * Three sources, each of which fails differently: the platform's list lags, a
 * VM's own messages stop when a path breaks, and gossip may be old. Negative news
 * (leaving, entry down) wins from whichever source. It comes undone only by newer
 * proof: a new instance id, or for `silent` a message of the VM itself. A VM is
 * live as long as this VM or any VM that this one hears from has heard it
 * directly, so that one broken path between two VMs makes neither silent.
 *
 * @example
 * ```ts
 * table.applyList(list.vms, now, { asOf: list.asOf });
 * table.applyHeard(reply.identity, now, { askedAt });
 * table.applyGossip(reply.members, now, { from: reply.identity.vmId });
 * table.getMembers(now);
 * ```
 */
export class MemberTable {
  readonly #options: Required<MemberTableOptions>;
  readonly #rows = new Map<VmId, MemberRow>();
  #listAsOf = -Infinity;
  #listReadAt = -Infinity;

  /** @param options The own VM and the limits. */
  constructor(options: MemberTableOptions) {
    const longestMs = options.silentAfterMs / FRESH_PER_SILENCE;
    const { viewFreshMs = longestMs } = options;
    if (viewFreshMs > longestMs) {
      throw new RangeError(
        `Cannot use viewFreshMs "${viewFreshMs}": expected at most a quarter of ` +
          `silentAfterMs "${options.silentAfterMs}"`,
      );
    }
    this.#options = {
      forgetAfterMs: FORGET_AFTER_MS,
      listFreshMs: LIST_FRESH_MS,
      ...options,
      viewFreshMs,
    };
    const row = createRow(options.self, -Infinity);
    row.isEntryDown = true;
    this.#rows.set(options.self.vmId, row);
  }

  /**
   * Takes a list over. One that is older than the last is ignored, and since
   * the list lags, `leaving` counts once, when the list changes to it: an older
   * `leaving` must not hit an instance that started later.
   *
   * @param vms The VMs of the list.
   * @param now Monotonic milliseconds, when the list was asked for.
   * @param options `asOf`: the list's own time.
   */
  applyList(
    vms: readonly ListedMember[],
    now: number,
    options: { readonly asOf?: number } = {},
  ): void {
    const asOf = options.asOf ?? this.#listAsOf;
    if (asOf < this.#listAsOf) return;
    this.#listAsOf = asOf;
    this.#listReadAt = now;
    const named = new Set(vms.map((vm) => vm.vmId));
    for (const vm of vms) this.#applyListed(vm, now);
    for (const row of this.#rows.values()) {
      if (!named.has(row.place.vmId)) row.listed = undefined;
    }
  }

  #applyListed(vm: ListedMember, now: number): void {
    const { state, ...place } = vm;
    const row = this.#getOrCreate(place, now);
    fillPlace(row, place);
    if (state === "leaving" && row.listed !== "leaving") row.isLeaving = true;
    row.listed = state;
    row.touchedAt = Math.max(row.touchedAt, now);
  }

  /**
   * Notes that a process of a VM was heard from directly.
   *
   * @param identity Who it is.
   * @param now Monotonic milliseconds at arrival.
   * @param options `askedAt`: when the own call was sent that this answers. Only
   *   answers prove that the other VM hears this one, and only from the
   *   time of the call on: a request may have waited in a socket while this
   *   process was frozen.
   */
  applyHeard(
    identity: HeardIdentity,
    now: number,
    options: { readonly askedAt?: number } = {},
  ): void {
    const row = this.#getOrCreate(buildPlace(identity), now);
    row.place = mergePlace(row.place, identity);
    if (identity.process === "entry") {
      if (!applyInstance(row, identity.instance)) return;
      row.entryHeardAt = Math.max(row.entryHeardAt, now);
    }
    row.heardAt = Math.max(row.heardAt, now);
    row.touchedAt = Math.max(row.touchedAt, now);
    const askedAt = options.askedAt ?? -Infinity;
    row.confirmedAt = Math.max(row.confirmedAt, askedAt);
  }

  /**
   * Takes over what another control process says of the VMs; it sends what
   * {@link getGossip} gives there.
   *
   * @param members What the other VM hears directly.
   * @param now Monotonic milliseconds.
   * @param options `from`: who says so. Without it, only negative news, places
   *   and instances are used.
   */
  applyGossip(
    members: readonly MemberFacts[],
    now: number,
    options: { readonly from?: VmId } = {},
  ): void {
    for (const member of members) {
      if (member.vmId === this.#options.self.vmId) {
        this.#applyGossipAboutSelf(member);
      } else {
        this.#applyGossiped(member, now, options.from);
      }
    }
  }

  /** Others may know from the list that this VM leaves before it knows. */
  #applyGossipAboutSelf(member: MemberFacts): void {
    const own = this.#getOwn();
    const isAboutThisRun = member.entryInstance === own.entryInstance;
    if (member.state === "leaving" && isAboutThisRun) own.isLeaving = true;
  }

  #applyGossiped(
    member: MemberFacts,
    now: number,
    from: VmId | undefined,
  ): void {
    const known = this.#rows.get(member.vmId);
    if (known === undefined && member.state !== "live") return;
    const row = known ?? createRow(buildPlace(member), now);
    fillPlace(row, member);
    this.#rows.set(member.vmId, row);
    if (!this.#applyGossipedInstance(row, member, now, from)) return;
    if (member.state === "leaving") row.isLeaving = true;
    if (from === undefined) return;
    // A control says of its own VM that it is silent when its entry is down.
    if (from === member.vmId) row.isEntryDown = member.state === "silent";
    if (member.state === "live") row.relayedBy.set(from, now);
    else row.relayedBy.delete(from);
  }

  /** Second-hand instance ids count only while nothing better is known. */
  #applyGossipedInstance(
    row: MemberRow,
    member: MemberFacts,
    now: number,
    from: VmId | undefined,
  ): boolean {
    const isFirstHand = from === member.vmId;
    if (!isFirstHand && this.#isHeard(row, now)) {
      return member.entryInstance === row.entryInstance;
    }
    return applyInstance(row, member.entryInstance);
  }

  /** Says which entry process of the own VM is connected, if any. */
  setOwnEntry(instance: InstanceId | undefined, now: number): void {
    const own = this.#getOwn();
    own.isEntryDown = instance === undefined;
    own.touchedAt = now;
    if (instance === undefined) return;
    applyInstance(own, instance);
    own.isEntryDown = false;
  }

  /** Notes that a VM leaves; a new instance of its entry undoes it. */
  markLeaving(vmId: VmId, now: number): void {
    const row = this.#rows.get(vmId);
    if (row === undefined) return;
    row.isLeaving = true;
    row.touchedAt = Math.max(row.touchedAt, now);
  }

  /** Gives all known VMs, sorted by id. */
  getMembers(now: number): MemberFacts[] {
    this.#forget(now);
    return this.#buildAll((row) => this.#getState(row, now));
  }

  /**
   * Gives what to send to others: whom this VM hears itself. What it has from
   * others is not passed on, or a rumour would outlive the VM it is about.
   */
  getGossip(now: number): MemberFacts[] {
    this.#forget(now);
    return this.#buildAll((row) => this.#getDirectState(row, now));
  }

  /**
   * Tells whether this view may be acted on where disagreement does harm.
   *
   * It is fresh while a majority of the listed VMs has answered calls sent
   * within `viewFreshMs` and the list is new enough. A frozen process that wakes
   * up, and one that is cut off, have no such answers.
   */
  isViewFresh(now: number): boolean {
    const { self, viewFreshMs, listFreshMs } = this.#options;
    if (now - this.#listReadAt > listFreshMs) return false;
    const listed = [...this.#rows.values()].filter((row) => row.listed);
    const confirmed = listed.filter((row) =>
      row.place.vmId === self.vmId || now - row.confirmedAt <= viewFreshMs
    );
    return confirmed.length * 2 > listed.length;
  }

  /** Drops all proof of freshness, after this process was paused. */
  handlePause(): void {
    for (const row of this.#rows.values()) row.confirmedAt = -Infinity;
  }

  #getState(row: MemberRow, now: number): MemberFacts["state"] {
    const state = this.#getDirectState(row, now);
    if (state !== "silent") return state;
    return this.#isRelayed(row, now) ? "live" : "silent";
  }

  #getDirectState(row: MemberRow, now: number): MemberFacts["state"] {
    if (row.isLeaving) return "leaving";
    return this.#isHeard(row, now) ? "live" : "silent";
  }

  /**
   * The entry itself is the best proof. Its control's word counts while it does
   * not say that its entry is down: that entry may have changed to another
   * control, where it is heard.
   */
  #isHeard(row: MemberRow, now: number): boolean {
    if (this.#isRecent(row.entryHeardAt, now)) return true;
    if (row.isEntryDown) return false;
    if (row.place.vmId === this.#options.self.vmId) return true;
    return this.#isRecent(row.heardAt, now);
  }

  /** Others' word counts, but not that of the VM about itself. */
  #isRelayed(row: MemberRow, now: number): boolean {
    for (const [from, at] of row.relayedBy) {
      if (from !== row.place.vmId && this.#isRecent(at, now)) return true;
    }
    return false;
  }

  #isRecent(at: number, now: number): boolean {
    return at !== NEVER_HEARD && now - at <= this.#options.silentAfterMs;
  }

  #buildAll(
    getState: (row: MemberRow) => MemberFacts["state"],
  ): MemberFacts[] {
    return [...this.#rows.values()]
      .map((row) => buildFacts(row, getState(row)))
      .sort((left, right) => left.vmId < right.vmId ? -1 : 1);
  }

  #getOwn(): MemberRow {
    return this.#rows.get(this.#options.self.vmId) as MemberRow;
  }

  #getOrCreate(place: MemberPlace, now: number): MemberRow {
    const known = this.#rows.get(place.vmId);
    if (known !== undefined) return known;
    const row = createRow(place, now);
    this.#rows.set(place.vmId, row);
    return row;
  }

  /** All VMs are replaced again and again: the table must not keep them all. */
  #forget(now: number): void {
    const { self, forgetAfterMs } = this.#options;
    for (const [vmId, row] of this.#rows) {
      if (vmId === self.vmId || row.listed) continue;
      if (this.#isRelayed(row, now)) continue;
      if (now - row.touchedAt > forgetAfterMs) this.#rows.delete(vmId);
    }
  }
}

function buildPlace(source: HeardIdentity | MemberPlace): MemberPlace {
  const { vmId, zone, site } = source;
  if ("entryRpc" in source) {
    const { entryRpc, controlRpc } = source;
    return { vmId, zone, site, entryRpc, controlRpc };
  }
  return mergePlace({ vmId, zone, site, entryRpc: "", controlRpc: "" }, source);
}

/** The process itself knows best where it listens. */
function mergePlace(place: MemberPlace, heard: HeardIdentity): MemberPlace {
  return heard.process === "entry"
    ? { ...place, entryRpc: heard.rpc }
    : { ...place, controlRpc: heard.rpc };
}
