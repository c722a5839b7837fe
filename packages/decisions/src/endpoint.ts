/**
 * An endpoint as one entry sees it.
 *
 * @module
 */
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointState,
} from "@sardinestep/types";
import type { TrackedCall } from "./tracked.ts";

const TAKES_WORK: Readonly<Record<EndpointState, boolean>> = {
  cold: true,
  warming: true,
  warm: true,
  silent: false,
  leaving: false,
  gone: false,
};

/** Calls, bounds and learned condition of an endpoint. */
export class Endpoint {
  facts: EndpointFacts;
  /** Calls at once that this entry may have there. */
  slice: number;
  /** Whether operators have taken its zone out. */
  isZoneOut = false;
  /** Calls of this entry that run there, oldest first. */
  readonly calls = new Set<TrackedCall>();
  /** Position among the pool's open endpoints; -1 when it is not open. */
  openIndex = -1;
  /** Calls at once that the pool counts on. */
  slots = 0;

  constructor(facts: EndpointFacts, slice: number) {
    this.facts = facts;
    this.slice = slice;
  }

  /** Calls of this entry that run there. */
  get inFlight(): number {
    return this.calls.size;
  }

  /**
   * Whether new work may go there at all.
   *
   * Made for endpoints and zones that leave: the news counts from the event on,
   * whatever their load says. What runs there is finished.
   */
  mayTakeWork(): boolean {
    return TAKES_WORK[this.facts.state] && !this.isZoneOut;
  }

  /** Calls at once that this entry allows itself there now. */
  getLimit(): number {
    if (!this.mayTakeWork()) return 0;
    if (this.facts.state === ENDPOINT_STATE.cold) {
      return Math.min(this.slice, this.facts.coldConcurrency);
    }
    return this.slice;
  }

  /** Takes in newer facts. */
  update(facts: EndpointFacts, slice: number): void {
    this.facts = facts;
    this.slice = slice;
  }
}
