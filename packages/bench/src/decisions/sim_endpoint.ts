/**
 * A small simulated endpoint: slots, a waiting line, a prefix cache, cold
 * starts and faults.
 *
 * @module
 */
import type { EndpointState, InstanceId } from "@sardinestep/types";
import type { FailureMode, SimEndpointSpec } from "./scenario.ts";

/** Time of a call whose prefix is cached, relative to one that is not. */
const CACHE_HIT_FACTOR = 0.6;
/** Time of a call in an otherwise empty endpoint, relative to a full one. */
const EMPTY_FACTOR = 0.6;
/** Calls take longer while the endpoint is cold. */
const COLD_FACTOR = 2;
/** Finished calls after which a warming endpoint bears one call more. */
const CALLS_PER_STEP = 4;
/** A cold endpoint with more than so many times its bound falls over. */
const FALL_OVER_FACTOR = 2;

/** A call inside the simulation. */
export interface SimCall {
  readonly callId: string;
  readonly entry: number;
  readonly workMs: number;
  readonly prefixHash: number | undefined;
  startedAt: number | undefined;
  finishAt: number;
  state: "sent" | "waiting" | "running" | "over";
  hasProgressed: boolean;
}

/** A simulated endpoint. */
export class SimEndpoint {
  readonly spec: SimEndpointSpec;
  failure: FailureMode = "none";
  slowness = 1;
  isDown = false;
  readonly running = new Set<SimCall>();
  readonly waiting: SimCall[] = [];
  /** Highest load relative to the bound while cold or warming. */
  peakColdRatio = 0;
  /** Times that it fell over under too much load while cold. */
  fallOvers = 0;
  #run = 1;
  #finishedCalls = Infinity;
  #prefixes: number[] = [];

  constructor(spec: SimEndpointSpec) {
    this.spec = spec;
  }

  /** Changes with every start. */
  get instance(): InstanceId {
    return `${this.spec.endpointId}#${this.#run}`;
  }

  /** Calls at once that it bears now. */
  get bound(): number {
    const { concurrency, coldConcurrency, warmCalls } = this.spec;
    const steps = Math.floor(
      (this.#finishedCalls - warmCalls) / CALLS_PER_STEP,
    );
    if (steps <= 0) return coldConcurrency;
    return Math.min(concurrency, coldConcurrency + steps);
  }

  get state(): EndpointState {
    if (this.#finishedCalls < this.spec.warmCalls) return "cold";
    return this.bound < this.spec.concurrency ? "warming" : "warm";
  }

  /** Starts again; whatever ran is broken by the caller of this method. */
  turnCold(): void {
    this.#run += 1;
    this.#finishedCalls = 0;
    this.#prefixes = [];
  }

  /** Whether the load is more than a cold endpoint can stand. */
  isOverwhelmed(): boolean {
    const load = this.running.size + this.waiting.length;
    if (this.state === "warm") return false;
    this.peakColdRatio = Math.max(this.peakColdRatio, load / this.bound);
    return load > FALL_OVER_FACTOR * this.bound;
  }

  /** Takes the next waiting call into a free slot and returns it. */
  startNext(now: number): SimCall | undefined {
    if (this.running.size >= this.spec.concurrency) return undefined;
    const call = this.waiting.shift();
    if (!call) return undefined;
    call.state = "running";
    call.startedAt = now;
    call.finishAt = now + this.#getServiceMs(call);
    this.running.add(call);
    return call;
  }

  /** Notes that a running call has finished. */
  recordFinish(call: SimCall): void {
    this.running.delete(call);
    this.#finishedCalls += 1;
  }

  #getServiceMs(call: SimCall): number {
    const fill = this.running.size / this.spec.concurrency;
    let ms = call.workMs * (EMPTY_FACTOR + (1 - EMPTY_FACTOR) * fill);
    ms *= this.slowness;
    if (this.state === "cold") ms *= COLD_FACTOR;
    if (this.#hasCached(call.prefixHash)) ms *= CACHE_HIT_FACTOR;
    return ms;
  }

  #hasCached(prefix: number | undefined): boolean {
    if (prefix === undefined || this.spec.cachedPrefixes === 0) return false;
    const at = this.#prefixes.indexOf(prefix);
    if (at >= 0) this.#prefixes.splice(at, 1);
    this.#prefixes.push(prefix);
    if (this.#prefixes.length > this.spec.cachedPrefixes) {
      this.#prefixes.shift();
    }
    return at >= 0;
  }
}
