/**
 * Which other VMs are asked for a path to an endpoint.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";

/** A VM that may relay connections. */
export interface Relay {
  readonly vmId: string;
  /** Address of its tunnel server. */
  readonly address: Address;
  /** It reported that its own links to endpoints are lost. */
  readonly isCutOff: boolean;
}

/** How a relay answered. */
export const RELAY_ANSWER = {
  established: "established",
  /** It did not reach the endpoint. */
  unreachable: "unreachable",
  /** It accepts no tunnel now. */
  refused: "refused",
  /** It did not answer. */
  silent: "silent",
} as const;
/** A value of {@link RELAY_ANSWER}. */
export type RelayAnswer = typeof RELAY_ANSWER[keyof typeof RELAY_ANSWER];

/** Time for which a relay that failed is asked after all others, in milliseconds. */
const FAILED_MS = 1_000;
/** Time for which a relay that reached an endpoint is preferred, in milliseconds. */
const PROVEN_MS = 5_000;

interface RelayRecord {
  readonly answer: RelayAnswer;
  readonly at: number;
}

/** Records how relays answered and orders them for the next connection. */
export class RelayTable {
  readonly #records = new Map<string, RelayRecord>();
  readonly #random: () => number;

  /** @param random Gives numbers from 0 up to 1. */
  constructor(random: () => number = Math.random) {
    this.#random = random;
  }

  /** Records the answer of a relay. */
  record(vmId: string, answer: RelayAnswer, now: number): void {
    this.#records.set(vmId, { answer, at: now });
  }

  /**
   * Picks relays in the order in which they are asked: at random among those that
   * are equally likely to have a path, so that no single VM relays for all.
   */
  pick(relays: readonly Relay[], count: number, now: number): Relay[] {
    return relays
      .map((relay) => ({
        relay,
        rank: this.#getRank(relay, now) + this.#random(),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ relay }) => relay);
  }

  /** Forgets VMs that are no longer members. */
  keep(relays: readonly Pick<Relay, "vmId">[]): void {
    const ids = new Set(relays.map(({ vmId }) => vmId));
    for (const vmId of this.#records.keys()) {
      if (!ids.has(vmId)) this.#records.delete(vmId);
    }
  }

  #getRank({ vmId, isCutOff }: Relay, now: number): number {
    const record = this.#records.get(vmId);
    const ageMs = record === undefined ? Infinity : now - record.at;
    const isProven = record?.answer === RELAY_ANSWER.established;
    if (isProven && ageMs < PROVEN_MS) return isCutOff ? 1 : 0;
    if (!isProven && ageMs < FAILED_MS) return 3;
    return isCutOff ? 2 : 1;
  }
}
