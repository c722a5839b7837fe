/**
 * The VMs that keep the note of a stream: computed from its key by consistent hashing,
 * so that each VM finds them without a directory.
 *
 * @module
 */
import type { Address, VmId, ZoneId } from "@sardinestep/types";
import murmurhash from "murmurhash";
import type { StreamKey } from "./stream_note.ts";

/** A VM that may keep notes. */
export interface Holder {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  /** Address of its JSON-RPC server, and of its datagrams. */
  readonly rpc: Address;
}

interface RingPoint {
  readonly point: number;
  readonly holder: Holder;
}

/** Points of each VM on the ring, which even out the number of notes. */
const POINTS_PER_HOLDER = 8;
/** VMs next to a key among which zones are spread. */
const NEIGHBORS = 12;

/** Assigns keys to VMs; changes of members move only the keys next to them. */
export class HolderRing {
  readonly #points: readonly RingPoint[];
  readonly #holderCount: number;

  /** @param holders All members, in any order. */
  constructor(holders: readonly Holder[]) {
    this.#holderCount = holders.length;
    this.#points = holders
      .flatMap((holder) =>
        Array.from({ length: POINTS_PER_HOLDER }, (_, i) => ({
          point: murmurhash.v3(`${holder.vmId}#${i}`),
          holder,
        }))
      )
      .sort((a, b) =>
        a.point - b.point || (a.holder.vmId < b.holder.vmId ? -1 : 1)
      );
  }

  /**
   * Returns the VMs for a key, in the order in which they are to be used: one of each
   * zone first.
   *
   * @param key Key of a stream.
   * @param count Most VMs to return.
   * @example
   * ```ts
   * new HolderRing(members).pick(key, 4);
   * ```
   */
  pick(key: StreamKey, count: number): Holder[] {
    const perZone = new Map<ZoneId, number>();
    return this.#findNeighbors(key)
      .map((holder) => {
        const rank = perZone.get(holder.zone) ?? 0;
        perZone.set(holder.zone, rank + 1);
        return { holder, rank };
      })
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ holder }) => holder);
  }

  #findNeighbors(key: StreamKey): Holder[] {
    const found = new Map<VmId, Holder>();
    const wanted = Math.min(NEIGHBORS, this.#holderCount);
    const start = this.#findStart(murmurhash.v3(key));
    for (let i = 0; found.size < wanted; i++) {
      const { holder } = this.#points[(start + i) % this.#points.length]!;
      found.set(holder.vmId, holder);
    }
    return [...found.values()];
  }

  /** Index of the first point at or after a hash. */
  #findStart(hash: number): number {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#points[middle]!.point < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Members up to which a site keeps {@link SMALL_SITE_COPIES} of each note. */
const SMALL_SITE_MEMBERS = 64;
const SMALL_SITE_COPIES = 4;
const LARGE_SITE_COPIES = 2;
/**
 * VMs asked beyond those that keep copies: VMs that know other members compute other
 * holders.
 */
const EXTRA_ASKED = 4;

/** Plans how many VMs keep a note beside the one that serves the stream. */
export function planCopies(members: number): number {
  return members <= SMALL_SITE_MEMBERS ? SMALL_SITE_COPIES : LARGE_SITE_COPIES;
}

/** Plans how many VMs are asked for a note. */
export function planAsked(members: number): number {
  return planCopies(members) + EXTRA_ASKED;
}
