/**
 * Answer counts of all VMs, as this VM knows them from gossip.
 *
 * Each of many VMs sees an answer of the target version only every few seconds, so
 * no VM can judge it alone. Messages with the counters of every VM would grow with
 * their number, so a VM sends its own counters and a sum for each zone, and adds
 * the counters that it receives from other VMs to the sum of their zone.
 * Counters and sums only grow: two views of one merge by maximum in any order, and
 * the reports of a lost VM still count.
 *
 * @module
 */
import type { EndpointId, ZoneId } from "@sardinestep/types";
import {
  addTallies,
  type AnswerCounts,
  formatCountsKey,
  getEndpointGroup,
  getTimeBucket,
  mergeTallies,
  NO_ANSWERS,
  NO_TALLY,
  SIDE,
  type Side,
  type Tally,
} from "./answer_counts.ts";

/** Counters of one VM since its start. */
export interface VmTally {
  readonly vmId: string;
  /** Differs with each process start, since counters restart at zero. */
  readonly startId: number;
  readonly zone: ZoneId;
  readonly tally: Tally;
}

/** Answer counts that a VM sends to other VMs. */
export interface TallyUpdate {
  readonly own: VmTally;
  /** Sums over the VMs of a zone. */
  readonly zones: Readonly<Record<ZoneId, Tally>>;
}

/** A request sent to an endpoint. */
export interface SentRequest {
  readonly side: Side;
  readonly route: string;
  readonly endpointId: EndpointId;
}

/** Outcome of a sent request. */
export type SentRequestOutcome =
  /** A complete answer; `ms` is the time to it or to a stream's first event. */
  | { readonly kind: "answered"; readonly ms: number }
  /** The endpoint failed, or its answer was cut off. */
  | { readonly kind: "failed" }
  /** The outcome is no evidence about the endpoint's version. */
  | { readonly kind: "neutral" };

/** The only group of the present version, whose endpoints aren't split up. */
const PRESENT_GROUP = 0;

/** Counts the answers on this VM and merges the counts of others. */
export class TallyAggregator {
  readonly #self: Omit<VmTally, "tally">;
  readonly #others = new Map<string, VmTally>();
  readonly #zones = new Map<ZoneId, Tally>();
  #own: Tally = NO_TALLY;
  #total: Tally = NO_TALLY;

  /** @param self This VM. */
  constructor(self: Omit<VmTally, "tally">) {
    this.#self = self;
  }

  /** Counts of this VM alone. */
  get own(): Tally {
    return this.#own;
  }

  /** Counts a request as sent. */
  recordSent(request: SentRequest): void {
    this.#change(request, (counts) => ({ ...counts, sent: counts.sent + 1 }));
  }

  /** Counts the outcome of a sent request. */
  recordEnd(request: SentRequest, outcome: SentRequestOutcome): void {
    this.#change(request, (counts) => addOutcome(counts, outcome));
  }

  /** Merges the counts that another VM sent. */
  merge(received: TallyUpdate): void {
    const { own } = received;
    const key = `${own.vmId}\0${own.startId}`;
    const before = this.#others.get(key)?.tally ?? NO_TALLY;
    this.#others.set(key, { ...own, tally: mergeTallies(before, own.tally) });
    for (const [zone, tally] of Object.entries(received.zones)) {
      this.#mergeZone(zone, tally);
    }
  }

  /** Returns the counts to send; sums are as of the last {@link updateTotals}. */
  getUpdate(): TallyUpdate {
    return {
      own: { ...this.#self, tally: this.#own },
      zones: Object.fromEntries(this.#zones),
    };
  }

  /** Returns the counts of all VMs, as of the last {@link updateTotals}. */
  getTotal(): Tally {
    return this.#total;
  }

  /** Recomputes the sums; too costly to be done on each of many exchanges. */
  updateTotals(): void {
    const byZone = new Map<ZoneId, Tally[]>();
    const all = [...this.#others.values(), { ...this.#self, tally: this.#own }];
    for (const { zone, tally } of all) {
      byZone.set(zone, [...byZone.get(zone) ?? [], tally]);
    }
    for (const [zone, vms] of byZone) this.#mergeZone(zone, addTallies(vms));
    this.#total = addTallies(this.#zones.values());
  }

  #change(
    { side, route, endpointId }: SentRequest,
    apply: (counts: AnswerCounts) => AnswerCounts,
  ): void {
    const group = side === SIDE.target
      ? getEndpointGroup(endpointId)
      : PRESENT_GROUP;
    const key = formatCountsKey({ route, group });
    const counts = apply(this.#own[side][key] ?? NO_ANSWERS);
    this.#own = { ...this.#own, [side]: { ...this.#own[side], [key]: counts } };
  }

  #mergeZone(zone: ZoneId, tally: Tally): void {
    const before = this.#zones.get(zone) ?? NO_TALLY;
    this.#zones.set(zone, mergeTallies(before, tally));
  }
}

function addOutcome(
  counts: AnswerCounts,
  outcome: SentRequestOutcome,
): AnswerCounts {
  const ended = counts.ended + 1;
  if (outcome.kind === "neutral") return { ...counts, ended };
  if (outcome.kind === "failed") {
    return { ...counts, ended, failed: counts.failed + 1 };
  }
  const bucket = getTimeBucket(outcome.ms);
  const length = Math.max(counts.times.length, bucket + 1);
  const times = Array.from(
    { length },
    (_, i) => (counts.times[i] ?? 0) + (i === bucket ? 1 : 0),
  );
  return { ...counts, ended, times };
}
