/**
 * One control process's view of the VMs. Has no sockets and no clock: callers
 * pass the current monotonic time in milliseconds.
 *
 * @module
 */
import type { InstanceId, MemberFacts, VmId } from "@sardinestep/types";
import {
  applyInstance,
  buildFacts,
  buildLocation,
  createRow,
  type ListedMember,
  type MemberLocation,
  type MemberRow,
  mergeAddress,
  mergeMissingAddresses,
  type PeerIdentity,
} from "./member_row.ts";
import {
  applyGossipedMember,
  dropExpiredSightings,
  getDirectState,
  getState,
  isSeenByOthers,
  type LivenessContext,
} from "./member_evidence.ts";

/** Limits of a {@link MemberTable}. */
export interface MemberTableOptions {
  /** The VM that holds the table. */
  readonly self: MemberLocation;
  /** Time without contact after which a VM counts as silent. */
  readonly silentAfterMs: number;
  /**
   * How long an answered call proves that a VM can reach this one. At most, and
   * by default, a quarter of `silentAfterMs`; `warmer.ts` gives the reason.
   */
  readonly viewFreshMs?: number;
  /** Age of the VM list beyond which the view is not fresh. */
  readonly listFreshMs?: number;
  /** Time without contact after which an unlisted VM is removed. */
  readonly forgetAfterMs?: number;
}

/** Lowest allowed ratio of `silentAfterMs` to `viewFreshMs`. */
const SILENCE_TO_VIEW_AGE_RATIO = 4;
/** Ten reads at the default interval, so that one slow read leaves no gap. */
const LIST_MAX_AGE_MS = 10_000;
/** Ten minutes: gossip about former instances is rejected for that long. */
const FORGET_AFTER_MS = 600_000;

/**
 * Tracks which VMs are live, silent or leaving.
 *
 * The three sources fail in different ways: the platform's list lags, a VM's own
 * messages stop when a network path breaks, and gossip may be old. Negative
 * evidence (leaving, entry down) from any source takes precedence until newer
 * evidence supersedes it: a new instance id or, for `silent`, a message of the
 * VM itself. A VM is live while this VM, or any VM in contact with this one, has
 * direct contact with it, so a broken path between two VMs makes neither silent.
 *
 * @example
 * ```ts
 * table.applyList(list.vms, now, { asOf: list.asOf });
 * table.recordContact(reply.identity, now, { callSentAt });
 * table.applyGossip(reply.members, now, { from: reply.identity.vmId });
 * table.getMembers(now);
 * ```
 */
export class MemberTable {
  readonly #options: Required<MemberTableOptions>;
  readonly #rows = new Map<VmId, MemberRow>();
  #listAsOf = -Infinity;
  #listReadAt = -Infinity;

  /** @param options The local VM and the limits. */
  constructor(options: MemberTableOptions) {
    const maxViewAgeMs = options.silentAfterMs / SILENCE_TO_VIEW_AGE_RATIO;
    const { viewFreshMs = maxViewAgeMs } = options;
    if (viewFreshMs > maxViewAgeMs) {
      throw new RangeError(
        `Cannot use viewFreshMs "${viewFreshMs}": expected at most a quarter of ` +
          `silentAfterMs "${options.silentAfterMs}"`,
      );
    }
    this.#options = {
      forgetAfterMs: FORGET_AFTER_MS,
      listFreshMs: LIST_MAX_AGE_MS,
      ...options,
      viewFreshMs,
    };
    const row = createRow(options.self, -Infinity);
    row.isEntryDown = true;
    this.#rows.set(options.self.vmId, row);
  }

  /**
   * Applies a VM list; one older than the last is ignored. Because the list
   * lags, `leaving` applies only when a VM's listed state changes to it: an old
   * `leaving` must not affect an instance that started later.
   *
   * @param vms The listed VMs.
   * @param now Monotonic milliseconds at which the list was requested.
   * @param options `asOf`: the list's own timestamp.
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
    const listedIds = new Set(vms.map((vm) => vm.vmId));
    for (const vm of vms) this.#applyListed(vm, now);
    for (const row of this.#rows.values()) {
      if (!listedIds.has(row.location.vmId)) row.listedAs = undefined;
    }
  }

  #applyListed(vm: ListedMember, now: number): void {
    const { state, ...location } = vm;
    const row = this.#getOrCreate(location, now);
    mergeMissingAddresses(row, location);
    if (state === "leaving" && row.listedAs !== "leaving") row.isLeaving = true;
    row.listedAs = state;
    row.lastEvidenceAt = Math.max(row.lastEvidenceAt, now);
  }

  /**
   * Records direct contact with a process of a VM.
   *
   * @param identity The process.
   * @param now Monotonic milliseconds at arrival.
   * @param options `callSentAt`: send time of the call that this message answers.
   *   Only an answer proves that the other VM can reach this one, and only since
   *   the call was sent: a request may have waited in a socket while this process
   *   was frozen.
   */
  recordContact(
    identity: PeerIdentity,
    now: number,
    options: { readonly callSentAt?: number } = {},
  ): void {
    const row = this.#getOrCreate(buildLocation(identity), now);
    row.location = mergeAddress(row.location, identity);
    if (identity.process === "entry") {
      if (!applyInstance(row, identity.instance)) return;
      row.entryHeardAt = Math.max(row.entryHeardAt, now);
    }
    row.heardAt = Math.max(row.heardAt, now);
    row.lastEvidenceAt = Math.max(row.lastEvidenceAt, now);
    const callSentAt = options.callSentAt ?? -Infinity;
    row.answeredCallSentAt = Math.max(row.answeredCallSentAt, callSentAt);
  }

  /**
   * Applies another control process's view, built there by {@link getGossip}.
   *
   * @param members VM states by the sender's direct contact.
   * @param now Monotonic milliseconds.
   * @param options `from`: the sending VM. Without it, only negative states,
   *   locations and instances are used.
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
        this.#applyGossipAboutOther(member, now, options.from);
      }
    }
  }

  /** Other VMs may read from the list before this VM does that it is leaving. */
  #applyGossipAboutSelf(member: MemberFacts): void {
    const localRow = this.#getLocalRow();
    const isSameInstance = localRow.entryInstance !== "" &&
      member.entryInstance === localRow.entryInstance;
    if (member.state === "leaving" && isSameInstance) localRow.isLeaving = true;
  }

  #applyGossipAboutOther(
    member: MemberFacts,
    now: number,
    from: VmId | undefined,
  ): void {
    const existing = this.#rows.get(member.vmId);
    if (existing === undefined && member.state !== "live") return;
    const row = existing ?? createRow(buildLocation(member), now);
    mergeMissingAddresses(row, member);
    this.#rows.set(member.vmId, row);
    applyGossipedMember(row, member, {
      from,
      context: this.#buildContext(now),
    });
  }

  /** Sets the connected entry instance of the local VM; undefined if none is. */
  setLocalEntry(instance: InstanceId | undefined, now: number): void {
    const localRow = this.#getLocalRow();
    localRow.isEntryDown = instance === undefined;
    localRow.lastEvidenceAt = now;
    if (instance === undefined) return;
    applyInstance(localRow, instance);
    localRow.isEntryDown = false;
  }

  /** Marks a VM as leaving until its entry has a new instance. */
  markLeaving(vmId: VmId, now: number): void {
    const row = this.#rows.get(vmId);
    if (row === undefined) return;
    row.isLeaving = true;
    row.lastEvidenceAt = Math.max(row.lastEvidenceAt, now);
  }

  /** Returns all known VMs, sorted by id. */
  getMembers(now: number): MemberFacts[] {
    this.#dropExpired(now);
    return this.#buildAllFacts((row) => getState(row, this.#buildContext(now)));
  }

  /**
   * Returns the view to send to other VMs, by direct contact only. Reports of
   * other VMs are not forwarded; otherwise they could circulate after the VM that
   * they are about is gone.
   */
  getGossip(now: number): MemberFacts[] {
    this.#dropExpired(now);
    return this.#buildAllFacts((row) =>
      getDirectState(row, this.#buildContext(now))
    );
  }

  /**
   * Tells whether the view is safe to use where VMs must not disagree.
   *
   * It is fresh while a majority of the listed VMs has answered calls sent within
   * the last `viewFreshMs` and the list is recent enough. A process that resumes
   * after a freeze or is partitioned has no such answers.
   */
  isViewFresh(now: number): boolean {
    const { self, viewFreshMs, listFreshMs } = this.#options;
    if (now - this.#listReadAt > listFreshMs) return false;
    const listed = [...this.#rows.values()].filter((row) => row.listedAs);
    const answering = listed.filter((row) =>
      row.location.vmId === self.vmId ||
      now - row.answeredCallSentAt <= viewFreshMs
    );
    return answering.length * 2 > listed.length;
  }

  /** Makes the view stale after a pause of this process. */
  handlePause(): void {
    for (const row of this.#rows.values()) row.answeredCallSentAt = -Infinity;
  }

  #buildAllFacts(
    getState: (row: MemberRow) => MemberFacts["state"],
  ): MemberFacts[] {
    return [...this.#rows.values()]
      .map((row) => buildFacts(row, getState(row)))
      .sort((left, right) => left.vmId < right.vmId ? -1 : 1);
  }

  #buildContext(now: number): LivenessContext {
    const { self, silentAfterMs } = this.#options;
    return { now, silentAfterMs, localVmId: self.vmId };
  }

  #getLocalRow(): MemberRow {
    return this.#rows.get(this.#options.self.vmId) as MemberRow;
  }

  #getOrCreate(location: MemberLocation, now: number): MemberRow {
    const existing = this.#rows.get(location.vmId);
    if (existing !== undefined) return existing;
    const row = createRow(location, now);
    this.#rows.set(location.vmId, row);
    return row;
  }

  /** Removes expired rows: VMs are replaced often, so the table would grow. */
  #dropExpired(now: number): void {
    const { self, forgetAfterMs } = this.#options;
    for (const [vmId, row] of this.#rows) {
      dropExpiredSightings(row, this.#buildContext(now));
      if (vmId === self.vmId || row.listedAs) continue;
      if (isSeenByOthers(row, this.#buildContext(now))) continue;
      if (now - row.lastEvidenceAt > forgetAfterMs) this.#rows.delete(vmId);
    }
  }
}
