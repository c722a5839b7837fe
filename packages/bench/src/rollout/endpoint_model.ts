/**
 * A simulated endpoint of a roll-out.
 *
 * @module
 */
import type * as rollout from "@sardinestep/rollout";
import type { Random } from "../decisions/random.ts";
import type { BadVersion } from "./rollout_model.ts";

/** Fault of an endpoint that is independent of its version. */
export type EndpointFault =
  | "none"
  | "crash"
  | "grey"
  | "answersLost"
  | "burst";

/** Options of {@link EndpointModel}. */
export interface EndpointModelOptions {
  readonly id: string;
  readonly fault: EndpointFault;
  readonly badVersion?: BadVersion;
  /** Concurrent requests from which it counts as loaded. */
  readonly loadedRequests?: number;
}

/** A request that an endpoint receives. */
export interface ModelRequest {
  readonly route: { readonly name: string; readonly usualMs: number };
  readonly now: number;
  readonly random: Random;
}

/** Answer of an endpoint to one request. */
export interface ModelAnswer {
  readonly outcome: rollout.SentRequestOutcome;
  readonly answerMs: number;
  /** Whether the version caused the fault, not one that affects both versions. */
  readonly isBad: boolean;
}

const FAULT_FROM_MS = 3_000;
const FAULT_TO_MS = 8_000;
/** A version with a late defect is good until then. */
const LATE_DEFECT_FROM_MS = 4_000;
/** Concurrent requests from which an endpoint counts as loaded by default. */
const LOADED_REQUESTS = 2;
const BAD_SHARE = 0.5;
const SLOWDOWN_FACTOR = 8;
/** Requests processed in full before the cache holds their common prefix. */
const COLD_REQUESTS = 4;
const COLD_SLOWDOWN_FACTOR = 3;
const GENERATE_MS = 400;

/** Simulates the answers of one endpoint. */
export class EndpointModel {
  readonly id: string;
  running = 0;
  readonly #options: EndpointModelOptions;
  #served = 0;

  /** @param options Identity, fault and version defect. */
  constructor(options: EndpointModelOptions) {
    this.id = options.id;
    this.#options = options;
  }

  /** Returns the answer to a request and how long it takes. */
  answer({ route, now, random }: ModelRequest): ModelAnswer {
    this.#served += 1;
    const isBad = this.#isBad(route.name, now, random);
    const isSlow = isBad && this.#options.badVersion === "slow";
    const isFailed = (isBad && !isSlow) || this.#isFaulty(now, random);
    const coldFactor = this.#served <= COLD_REQUESTS ? COLD_SLOWDOWN_FACTOR : 1;
    const burstFactor = this.#options.fault === "burst" && isInFaultPeriod(now)
      ? COLD_SLOWDOWN_FACTOR
      : 1;
    const ms = route.usualMs * (0.5 + random.getExponential(0.5)) *
      coldFactor * burstFactor * (isSlow ? SLOWDOWN_FACTOR : 1);
    const outcome = isFailed
      ? { kind: "failed" as const }
      : { kind: "answered" as const, ms };
    const answerMs = isFailed ? ms : ms + random.getExponential(GENERATE_MS);
    return { outcome, answerMs, isBad };
  }

  #isBad(route: string, now: number, random: Random): boolean {
    const isAffected = random.getUniform() < BAD_SHARE;
    switch (this.#options.badVersion) {
      case undefined:
        return false;
      case "errors":
        return isAffected;
      case "slow":
        return true;
      case "underLoad":
        return isAffected &&
          this.running >= (this.#options.loadedRequests ?? LOADED_REQUESTS);
      case "oneRoute":
        return isAffected && route === "note";
      case "late":
        return isAffected && now > LATE_DEFECT_FROM_MS;
    }
  }

  #isFaulty(now: number, random: Random): boolean {
    if (!isInFaultPeriod(now)) return false;
    const share = { none: 0, burst: 0, crash: 1, grey: 0.5, answersLost: 0.3 };
    return random.getUniform() < share[this.#options.fault];
  }
}

function isInFaultPeriod(now: number): boolean {
  return now > FAULT_FROM_MS && now < FAULT_TO_MS;
}
