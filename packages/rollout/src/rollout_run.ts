/**
 * State of one roll-out on one VM.
 *
 * @module
 */
import type { EndpointId, ZoneId } from "@sardinestep/types";
import { match } from "ts-pattern";
import {
  countRunning,
  NO_TALLY,
  SIDE,
  type Side,
  sumCounts,
  type Tally,
} from "./answer_counts.ts";
import {
  getCanaryShare,
  getSessionFraction,
  isWithinExposureBound,
  pickCanaries,
  pickLoadedCanaries,
} from "./exposure.ts";
import {
  type FinalState,
  getFinalState,
  isStatusOf,
  ROLLOUT_STATE,
  type RolloutOrder,
  type RolloutStatus,
} from "./order.ts";
import { getTargetShare, planPhase, type RolloutPhase } from "./phase.ts";
import type { RolloutSettings } from "./settings.ts";
import {
  type SentRequest,
  type SentRequestOutcome,
  TallyAggregator,
  type TallyUpdate,
} from "./tally_aggregator.ts";
import {
  decideVerdict,
  NO_VERDICT_STATE,
  type Verdict,
  type VerdictPolicy,
  type VerdictState,
} from "./verdict.ts";

/** State of a roll-out that a VM sends to other VMs. */
export interface RolloutUpdate extends TallyUpdate {
  readonly order: RolloutOrder;
  /** Time since the order was first seen, as the sender knows it, in ms. */
  readonly ageMs: number;
  /** Whether the sender knows the reported status of the order. */
  readonly isReported: boolean;
  /** Why the roll-out was stopped; undefined if it wasn't. */
  readonly stopReason?: string;
  readonly finalState?: FinalState;
}

/** Options of {@link RolloutRun}. */
export interface RolloutRunOptions {
  readonly order: RolloutOrder;
  readonly vmId: string;
  readonly startId: number;
  readonly zone: ZoneId;
  readonly settings: RolloutSettings;
  /** Monotonic time at which this VM first saw the order. */
  readonly now: number;
  /** Whether the target is already the only version in service. */
  readonly isTargetAlone?: boolean;
  /** Method of judging answers; the sequential one by default. */
  readonly policy?: VerdictPolicy;
}

/** Times of the two clocks, in milliseconds. */
export interface RolloutClocks {
  /** Monotonic time. */
  readonly now: number;
  /** Wall-clock time, which may jump. */
  readonly unixMs: number;
}

/** Registered endpoints of both versions. */
export interface RolloutEndpoints {
  readonly target: readonly EndpointId[];
  /** Number of endpoints of the present version. */
  readonly present: number;
  /** Requests that one endpoint of the target runs at the same time, if known. */
  readonly targetSlots?: number;
}

/** Interval at which the counts of all VMs are summed. */
const SUM_INTERVAL_MS = 200;

/** Tracks one order on this VM from when it is first seen to its final state. */
export class RolloutRun {
  readonly #options: RolloutRunOptions;
  readonly #tallies: TallyAggregator;
  #order: RolloutOrder;
  #settings: RolloutSettings;
  #orderedAt: number;
  #isStatusKnown = false;
  #phase: RolloutPhase = { kind: "waiting" };
  #verdict: Verdict = { kind: "open", proof: 0 };
  #verdictState: VerdictState = NO_VERDICT_STATE;
  #lastSumAt = -Infinity;
  #canaries: ReadonlySet<EndpointId> = new Set();

  /** @param options The order, this VM and the operator's settings. */
  constructor(options: RolloutRunOptions) {
    const { order, vmId, startId, zone, settings, now } = options;
    this.#order = order;
    this.#options = options;
    this.#settings = settings;
    this.#tallies = new TallyAggregator({ vmId, startId, zone });
    this.#orderedAt = now;
    if (options.isTargetAlone) {
      this.#phase = {
        kind: "finished",
        reason: "the target is already the only version",
      };
    }
  }

  /** The order, at its latest position in the registry. */
  get order(): RolloutOrder {
    return this.#order;
  }

  /** Continues with the same order at another position of a restored registry. */
  setOrder(order: RolloutOrder): void {
    this.#order = order;
  }

  /** Current phase. */
  get phase(): RolloutPhase {
    return this.#phase;
  }

  /** Verdict on the target version as of the last {@link updatePhase}. */
  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Whether the reported status of the order is known on this VM. */
  get isStatusKnown(): boolean {
    return this.#isStatusKnown;
  }

  /** Whether the final state is reported. */
  get isSettled(): boolean {
    return this.#phase.kind === "settled";
  }

  /** Answer counts of all VMs, as of the last summation. */
  get tally(): Tally {
    return this.#tallies.getTotal();
  }

  /** Replaces the operator's settings. */
  setSettings(settings: RolloutSettings): void {
    this.#settings = settings;
  }

  /** Returns the time since the order was first seen, in milliseconds. */
  getElapsedMs(now: number): number {
    return now - this.#orderedAt;
  }

  /** Returns the share of sessions that are routed to the target version. */
  getShare(now: number): number {
    if (!this.#isStatusKnown) return 0;
    return getTargetShare(this.#phase, {
      elapsedMs: this.getElapsedMs(now),
      durationMs: this.order.durationMs,
      canaryShare: getCanaryShare(this.#settings.exposure),
    });
  }

  /** Whether an endpoint of the target version may get requests now. */
  mayUse(endpointId: EndpointId): boolean {
    const { kind } = this.#phase;
    const isProving = kind === "canary" || kind === "ramping";
    return !isProving || this.#canaries.has(endpointId);
  }

  /** Chooses the version for a new request of a session. */
  pickSide(session: string, now: number): Side {
    const share = this.getShare(now);
    if (getSessionFraction(this.order, session) >= share) return SIDE.present;
    if (this.#phase.kind !== "canary") return SIDE.target;
    return this.maySendToTarget() ? SIDE.target : SIDE.present;
  }

  /** Whether one more request to the target version stays within the bound. */
  maySendToTarget(): boolean {
    const all = this.#countSent(this.tally);
    const own = this.#countSent(this.#tallies.own);
    return isWithinExposureBound({
      all: all.present + all.target,
      target: all.target,
      own: own.present + own.target,
      ownTarget: own.target,
    }, this.#settings.exposure);
  }

  /**
   * Whether a call that belongs to no session may go to the target version without
   * exceeding its share of this VM's calls.
   */
  mayRouteCallToTarget(share: number): boolean {
    const own = this.#countSent(this.#tallies.own);
    const isWithin = own.target + 1 <= share * (own.present + own.target) + 1;
    return isWithin &&
      (this.#phase.kind !== "canary" || this.maySendToTarget());
  }

  /** Counts a request as sent. */
  recordSent(request: SentRequest): void {
    if (!this.isSettled) this.#tallies.recordSent(request);
  }

  /** Counts the outcome of a sent request. */
  recordEnd(request: SentRequest, outcome: SentRequestOutcome): void {
    if (!this.isSettled) this.#tallies.recordEnd(request, outcome);
  }

  /** Re-evaluates verdict, canaries and phase. */
  updatePhase(endpoints: RolloutEndpoints, now: number): void {
    if (now - this.#lastSumAt >= SUM_INTERVAL_MS) {
      this.#lastSumAt = now;
      this.#tallies.updateTotals();
    }
    if (!this.#isStatusKnown || this.isSettled) return;
    const { tally, order } = this;
    const judged = decideVerdict({
      state: this.#verdictState,
      tally,
      policy: this.#options.policy ??
        { kind: "sequential", settings: this.#settings.verdict },
      now,
    });
    this.#verdictState = judged.state;
    this.#verdict = judged.verdict;
    this.#canaries = this.#pickCanaries(endpoints, now);
    this.#phase = planPhase({
      phase: this.#phase,
      elapsedMs: this.getElapsedMs(now),
      durationMs: order.durationMs,
      hasTargetEndpoint: endpoints.target.length > 0,
      verdict: judged.verdict,
      presentRunning: countRunning(tally, SIDE.present),
    });
  }

  /** Returns the state to send to other VMs; no counts once it is settled. */
  getUpdate(now: number): RolloutUpdate {
    const phase = this.#phase;
    const { own, zones } = this.#tallies.getUpdate();
    return {
      own: this.isSettled ? { ...own, tally: NO_TALLY } : own,
      zones: this.isSettled ? {} : zones,
      order: this.order,
      ageMs: Math.round(this.getElapsedMs(now)),
      isReported: this.#isStatusKnown,
      stopReason: phase.kind === "stopped" ? phase.reason : undefined,
      finalState: phase.kind === "settled" ? phase.state : undefined,
    };
  }

  /**
   * Merges the state of the same order from another VM. A stop needs no quorum: each
   * VM that receives one stops as well.
   */
  mergeUpdate(other: RolloutUpdate, now: number): void {
    this.#tallies.merge(other);
    this.#orderedAt = Math.min(this.#orderedAt, now - other.ageMs);
    if (other.isReported) this.#isStatusKnown = true;
    if (this.isSettled) return;
    if (other.finalState !== undefined) return this.#settle(other.finalState);
    if (other.stopReason !== undefined && this.#phase.kind !== "stopped") {
      this.#phase = { kind: "stopped", reason: other.stopReason };
    }
  }

  /** Returns the status to report now; undefined if nothing needs reporting. */
  planReport(
    current: RolloutStatus | undefined,
    clocks: RolloutClocks,
  ): RolloutStatus | undefined {
    const common = this.#buildStatus(clocks);
    return match(this.#phase)
      .with({ kind: "settled" }, () => undefined)
      .with({ kind: "finished" }, ({ reason }) => ({
        ...common,
        state: ROLLOUT_STATE.succeeded,
        reason,
      }))
      .with({ kind: "stopped" }, ({ reason }) => ({
        ...common,
        state: ROLLOUT_STATE.rolledBack,
        reason,
      }))
      .with(
        { kind: "waiting" },
        { kind: "canary" },
        { kind: "ramping" },
        { kind: "finishing" },
        () =>
          current !== undefined && isStatusOf(current, this.order)
            ? undefined
            : { ...common, state: ROLLOUT_STATE.running },
      )
      .exhaustive();
  }

  /**
   * Returns the final state to report again; undefined if it is still reported.
   *
   * @param current The reported status, which a restored registry may have lost.
   */
  planReportAgain(
    current: RolloutStatus | undefined,
    clocks: RolloutClocks,
  ): RolloutStatus | undefined {
    const phase = this.#phase;
    if (phase.kind !== "settled") return undefined;
    const isReported = current !== undefined &&
      isStatusOf(current, this.order) && getFinalState(current) !== undefined;
    return isReported ? undefined : {
      ...this.#buildStatus(clocks),
      state: phase.state,
      reason: "reported again after the registry was restored",
    };
  }

  /**
   * Applies the reported status of the service's roll-out, if there is one.
   *
   * Guards against a roll-out that restarts after a power failure of all VMs: a final
   * state stays final, and the elapsed time continues.
   *
   * @param status The latest reported status.
   * @param clocks Current times; a wall clock that jumped back has no effect.
   */
  recordReport(status: RolloutStatus | undefined, clocks: RolloutClocks): void {
    this.#isStatusKnown = true;
    if (status === undefined || !isStatusOf(status, this.order)) return;
    const finalState = getFinalState(status);
    if (finalState !== undefined) return this.#settle(finalState);
    const { seenAtUnixMs } = status;
    if (seenAtUnixMs === undefined) return;
    const ageMs = Math.min(
      this.order.durationMs,
      clocks.unixMs - seenAtUnixMs,
    );
    this.#orderedAt = Math.min(this.#orderedAt, clocks.now - ageMs);
  }

  #buildStatus({ now, unixMs }: RolloutClocks): Omit<RolloutStatus, "state"> {
    const { service, target, position } = this.order;
    return {
      service,
      target,
      position,
      decidedBy: this.#options.vmId,
      seenAtUnixMs: Math.round(unixMs - this.getElapsedMs(now)),
    };
  }

  #pickCanaries(
    endpoints: RolloutEndpoints,
    now: number,
  ): ReadonlySet<EndpointId> {
    const { order, tally } = this;
    const share = this.getShare(now);
    const canaries = pickCanaries({ order, ...endpoints, share });
    const { targetSlots } = endpoints;
    if (this.#phase.kind !== "canary" || targetSlots === undefined) {
      return canaries;
    }
    const running = countRunning(tally, SIDE.present) +
      countRunning(tally, SIDE.target);
    return pickLoadedCanaries(canaries, {
      expectedRunning: running * share,
      slots: targetSlots,
      elapsedMs: this.getElapsedMs(now),
      durationMs: order.durationMs,
    });
  }

  #settle(state: FinalState): void {
    this.#phase = { kind: "settled", state };
  }

  #countSent(tally: Tally): Record<Side, number> {
    return {
      present: sumCounts(Object.values(tally.present)).sent,
      target: sumCounts(Object.values(tally.target)).sent,
    };
  }
}
