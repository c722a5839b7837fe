/**
 * The VMs of the system as one control process sees them. No sockets and no
 * clock of its own: every call says when it is made, in monotonic milliseconds.
 *
 * @module
 */
import type { InstanceId, MemberFacts, VmId } from "@sardinestep/types";
import {
  applyInstance,
  buildFacts,
  buildPlace,
  createRow,
  fillPlace,
  type HeardIdentity,
  type ListedMember,
  type MemberPlace,
  type MemberRow,
  mergePlace,
} from "./member_row.ts";
import {
  applyRelayed,
  dropOldRelays,
  getDirectState,
  getState,
  isRelayed,
  type SilenceLimits,
} from "./member_evidence.ts";

/** Limits of a {@link MemberTable}. */
export interface MemberTableOptions {
  /** The VM that keeps the table. */
  readonly self: MemberPlace;
  /** A VM that nobody has heard from for so long counts as silent. */
  readonly silentAfterMs: number;
  /**
   * How long an answered call proves that a VM hears this one. At most, and by
   * default, a quarter of `silentAfterMs`; `warmer.ts` has the reason.
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
    const isSameRun = own.entryInstance !== "" &&
      member.entryInstance === own.entryInstance;
    if (member.state === "leaving" && isSameRun) own.isLeaving = true;
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
    applyRelayed(row, member, { from, limits: this.#getLimits(now) });
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
    this.#dropForgotten(now);
    return this.#buildAll((row) => getState(row, this.#getLimits(now)));
  }

  /**
   * Gives what to send to others: whom this VM hears itself. What it has from
   * others is not passed on, or a rumour would outlive the VM it is about.
   */
  getGossip(now: number): MemberFacts[] {
    this.#dropForgotten(now);
    return this.#buildAll((row) => getDirectState(row, this.#getLimits(now)));
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

  #buildAll(
    getState: (row: MemberRow) => MemberFacts["state"],
  ): MemberFacts[] {
    return [...this.#rows.values()]
      .map((row) => buildFacts(row, getState(row)))
      .sort((left, right) => left.vmId < right.vmId ? -1 : 1);
  }

  #getLimits(now: number): SilenceLimits {
    const { self, silentAfterMs } = this.#options;
    return { now, silentAfterMs, ownVmId: self.vmId };
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
  #dropForgotten(now: number): void {
    const { self, forgetAfterMs } = this.#options;
    for (const [vmId, row] of this.#rows) {
      dropOldRelays(row, this.#getLimits(now));
      if (vmId === self.vmId || row.listed) continue;
      if (isRelayed(row, this.#getLimits(now))) continue;
      if (now - row.touchedAt > forgetAfterMs) this.#rows.delete(vmId);
    }
  }
}
