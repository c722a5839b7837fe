/**
 * Load on endpoints whose speed changes, placed by VMs that see late reports.
 *
 * @module
 */
import * as endpointSpeed from "@sardinestep/endpoint_speed";
import murmurhash from "murmurhash";
import type { EndpointSpeed, PlacementCandidate } from "./placement.ts";

/** Placement of one request. */
export type PickForLoad = (
  candidates: readonly (PlacementCandidate & EndpointSpeed)[],
  request: { readonly id: string; readonly ownZone: string },
) => string | undefined;

/** Who learns of a report, and how late. */
export type ReportSharing =
  | { readonly kind: "ownAnswers" }
  /** Each VM exchanges its newest figures with the first VM once a round. */
  | { readonly kind: "firstVm"; readonly roundMs: number };

/** A site and its requests. */
export interface EndpointLoadOptions {
  readonly pick: PickForLoad;
  readonly sharing: ReportSharing;
  readonly vms: number;
  readonly endpoints: number;
  readonly zones: number;
  readonly slots: number;
  readonly perSecond: number;
  /** Usual time to the first event, in milliseconds. */
  readonly usualMs: number;
  /** Time from the first event to the end of a request, in milliseconds. */
  readonly streamMs: number;
  /** Share of periods in which an endpoint is slowed. */
  readonly slowShare: number;
  readonly seed: string;
}

/** What callers got. */
export interface EndpointLoadResult {
  readonly meanMs: number;
  readonly p90Ms: number;
  /** Share of requests that were sent to a slowed endpoint. */
  readonly slowShare: number;
  /** Most requests that one endpoint held at a time. */
  readonly maxInFlight: number;
}

const { SHARE_SOURCE } = endpointSpeed;
const PERIOD_MS = 600;
const MAX_EXTRA = 1.5;
const WARM_UP_MS = 10_000;
const END_MS = 30_000;
/** As in the gateway: older loads are not used. */
const MAX_LOAD_REPORT_AGE_MS = 400;

interface KnownLoad {
  readonly running: number;
  readonly at: number;
  sent: number;
}

class LoadVm {
  readonly speeds = new endpointSpeed.HostSpeeds();
  readonly inFlight = new Map<string, number>();
  readonly loads = new Map<string, KnownLoad>();

  recordReport(id: string, at: number, slowdown: number, running: number) {
    if ((this.loads.get(id)?.at ?? -Infinity) >= at) return;
    this.speeds.recordReport(id, slowdown, at);
    this.loads.set(id, { running, at, sent: 0 });
  }

  addInFlight(id: string, by: number): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + by);
  }

  buildCandidate(
    id: string,
    more: { readonly zone: string; readonly slots: number },
    now: number,
  ): PlacementCandidate & EndpointSpeed {
    const known = this.loads.get(id);
    const isFresh = known !== undefined &&
      now - known.at < MAX_LOAD_REPORT_AGE_MS;
    return {
      id,
      ...more,
      inFlight: this.inFlight.get(id) ?? 0,
      reported: isFresh ? known.running : undefined,
      sentSinceReport: known?.sent ?? 0,
      slowdown: this.speeds.getSlowdown(id, now),
      isAvoided: false,
    };
  }
}

/** Gives a number from 0 to 1 that depends only on the text. */
function getPoint(text: string): number {
  return murmurhash.v3(text) / 2 ** 32;
}

/** Generates the load and returns what callers got, after a warm-up. */
export function runEndpointLoad(
  options: EndpointLoadOptions,
): EndpointLoadResult {
  const { seed, slots, sharing, usualMs } = options;
  const ids = Array.from({ length: options.endpoints }, (_, i) => `e${i}`);
  const zones = Array.from({ length: options.zones }, (_, i) => `z${i}`);
  const vms = Array.from({ length: options.vms }, () => new LoadVm());
  const running = new Map(ids.map((id) => [id, 0]));
  const events: (() => void)[][] = [];
  const schedule = (at: number, run: () => void) => {
    (events[Math.ceil(at)] ??= []).push(run);
  };
  const getSlowdown = (id: string, now: number) => {
    const offset = getPoint(`${seed} offset ${id}`) * PERIOD_MS;
    const period = Math.floor((now + offset) / PERIOD_MS);
    const isSlow = getPoint(`${seed} ${id} ${period}`) < options.slowShare;
    const extra = getPoint(`${seed} extra ${id} ${period}`) * MAX_EXTRA;
    return isSlow ? 1 + extra : 1;
  };
  const times: number[] = [];
  let slowRequests = 0;
  let maxInFlight = 0;

  const handleArrival = (number: number, now: number) => {
    const requestId = `${seed} ${number}`;
    const vmIndex = murmurhash.v3(`vm ${requestId}`) % vms.length;
    const vm = vms[vmIndex]!;
    const candidates = ids.map((id, i) =>
      vm.buildCandidate(id, { zone: zones[i % zones.length]!, slots }, now)
    );
    const ownZone = zones[vmIndex % zones.length]!;
    const id = options.pick(candidates, { id: requestId, ownZone })!;
    const known = vm.loads.get(id);
    if (known !== undefined) known.sent += 1;
    const ahead = running.get(id)!;
    const slowdown = getSlowdown(id, now);
    const tookMs = usualMs * slowdown * (1 + ahead / slots);
    running.set(id, ahead + 1);
    vm.addInFlight(id, 1);
    if (now > WARM_UP_MS) {
      times.push(tookMs);
      if (slowdown > 1.2) slowRequests += 1;
      maxInFlight = Math.max(maxInFlight, ahead + 1);
    }
    const answeredAt = now + tookMs;
    schedule(answeredAt, () => {
      const reported = getSlowdown(id, answeredAt);
      const load = running.get(id)!;
      vm.recordReport(id, answeredAt, reported, load);
    });
    schedule(answeredAt + options.streamMs, () => {
      running.set(id, running.get(id)! - 1);
      vm.addInFlight(id, -1);
    });
  };

  const exchange = (roundMs: number, now: number) => {
    const [first, ...others] = vms;
    for (const [i, vm] of others.entries()) {
      if ((now + Math.floor(i * roundMs / vms.length)) % roundMs > 0) continue;
      first!.speeds.recordShared(
        vm.speeds.getShared(now, SHARE_SOURCE.own),
        now,
      );
      vm.speeds.recordShared(
        first!.speeds.getShared(now, SHARE_SOURCE.all),
        now,
      );
    }
  };

  let arrivals = 0;
  for (let now = 0; now < END_MS; now++) {
    for (const run of events[now] ?? []) run();
    if (sharing.kind === "firstVm") exchange(sharing.roundMs, now);
    delete events[now];
    const isArrival = getPoint(`${seed} arrival ${now}`) <
      options.perSecond / 1_000;
    if (isArrival) handleArrival(arrivals++, now);
  }
  times.sort((a, b) => a - b);
  return {
    meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
    p90Ms: times[Math.floor(times.length * 0.9)]!,
    slowShare: slowRequests / times.length,
    maxInFlight,
  };
}
