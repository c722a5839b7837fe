/**
 * Figures of endpoints' speed that other VMs passed on.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import murmurhash from "murmurhash";
import { EvidenceDecay, isSameSpeed } from "./evidence_decay.ts";
import type { SpeedFigure } from "./speed_evidence.ts";

/** Most figures in one message: 32 take 1.5 KB. */
export const MAX_SHARED_SPEEDS = 32;
/** Age from which a figure is not passed on, in ms: slow periods last 0.6 s. */
export const MAX_SHARED_AGE_MS = 1_000;
/**
 * Largest deviation that is accepted without an own report: twice what endpoints
 * of the two contended deployments show.
 */
const MAX_RELAYED_SLOWDOWN = 5;

/**
 * One request of so many is placed by own evidence only, so that an endpoint of which
 * other VMs pass on false figures still gets requests and can disprove them.
 */
const OWN_EVIDENCE_INTERVAL = 16;

/** Whether a request is placed without what other VMs passed on. */
export function isPlacedByOwnEvidence(requestId: string): boolean {
  return murmurhash.v3(`own\0${requestId}`) % OWN_EVIDENCE_INTERVAL === 0;
}

/** A figure in a message. Its time is an age, since clocks differ. */
export interface SharedSpeed {
  readonly id: EndpointId;
  readonly slowdown: number;
  readonly ageMs: number;
}

/** Keeps figures of other VMs, and learns from own reports how far they hold. */
export class RelayedSpeeds {
  readonly #figures = new Map<EndpointId, SpeedFigure>();
  readonly #decay = new EvidenceDecay();

  /** Records a figure that another VM passed on; only a newer one counts. */
  record({ id, slowdown, ageMs }: SharedSpeed, now: number): void {
    const isCredible = slowdown > 0 && ageMs >= 0 && ageMs < MAX_SHARED_AGE_MS;
    if (!isCredible) return;
    const at = now - ageMs;
    if ((this.#figures.get(id)?.at ?? -Infinity) >= at) return;
    const bounded = Math.min(
      MAX_RELAYED_SLOWDOWN,
      Math.max(1 / MAX_RELAYED_SLOWDOWN, slowdown),
    );
    this.#figures.set(id, { slowdown: bounded, at });
  }

  /** Compares what was relayed with a report that this VM got itself. */
  recordReport(id: EndpointId, report: SpeedFigure, mean: number): void {
    const relayed = this.#figures.get(id);
    if (relayed === undefined || isSameSpeed(relayed.slowdown, mean)) return;
    this.#decay.recordPair(
      report.at - relayed.at,
      isSameSpeed(relayed.slowdown, report.slowdown),
    );
  }

  /** Returns the last figure of an endpoint. */
  find(id: EndpointId): SpeedFigure | undefined {
    return this.#figures.get(id);
  }

  /** Returns the weight of a relayed figure against the mean of all. */
  getWeight(ageMs: number): number {
    return this.#decay.getWeight(ageMs);
  }

  /** Returns all figures. */
  getAll(): Iterable<readonly [EndpointId, SpeedFigure]> {
    return this.#figures;
  }

  /** Removes all endpoints but the given ones. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#figures.keys()) {
      if (!ids.has(id)) this.#figures.delete(id);
    }
  }
}
