/**
 * The batch of an endpoint stand-in: who runs, who waits, and how long it
 * takes. No sockets here.
 *
 * @module
 */
import { Heap } from "heap-js";
import type {
  ActiveFaults,
  EndpointSettings,
  FakeEndpointCounters,
} from "./endpoint_settings.ts";
import { createRandom, type RandomSource } from "./random.ts";
import { createRun, type Run, type RunRequest } from "./run.ts";
import { RunCounts } from "./run_counts.ts";
import { Warmth } from "./warmth.ts";

/** Finished streams kept for a resume. */
const MAX_KEPT_RUNS = 512;
/** A prompt whose prefix is cached takes this share of its service time. */
const PREFIX_HIT_FACTOR = 0.5;

/** What an {@link Engine} shares with its endpoint. */
export interface EngineParts {
  readonly settings: EndpointSettings;
  readonly faults: ActiveFaults;
  readonly counters: FakeEndpointCounters;
}

/** Runs calls in a batch by priority. */
export class Engine {
  readonly warmth: Warmth;
  readonly runCounts = new RunCounts();
  readonly #parts: EngineParts;
  readonly #random: RandomSource;
  readonly #running = new Set<Run>();
  readonly #waiting = new Heap<Run>(compareRuns);
  readonly #byCallId = new Map<string, Run>();
  readonly #prefixes = new Set<unknown>();
  #arrivals = 0;

  constructor(parts: EngineParts) {
    this.#parts = parts;
    this.#random = createRandom(parts.settings.seed);
    this.warmth = new Warmth(parts.settings, performance.now());
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get waitingCount(): number {
    return this.#waiting.size();
  }

  /** Tells whether a call more finds a place. */
  hasRoom(): boolean {
    return this.waitingCount < this.#parts.settings.maxWaiting;
  }

  /** Finds a call that runs or a stream that may be resumed. */
  find(callId: string): Run | undefined {
    return this.#byCallId.get(callId);
  }

  /** Takes a call; too many at once while cold fail all of them. */
  add(request: RunRequest): Run {
    const run = createRun(request, this.#arrivals);
    this.#arrivals += 1;
    this.#byCallId.set(request.callId, run);
    this.#waiting.push(run);
    this.#countConcurrent();
    // Right after the call was taken, so that a listener can be added first.
    queueMicrotask(() => this.#startNext());
    return run;
  }

  /** Fails every call and turns cold, as too much load on a cold engine does. */
  checkOverload(): void {
    const now = performance.now();
    const concurrent = this.runningCount + this.waitingCount;
    if (!this.warmth.isTooMuch(concurrent, now)) return;
    this.#parts.counters.fellOver += 1;
    this.warmth.handleOverload(now);
    this.stopAll("Endpoint fell over");
  }

  /** Ends a call on its caller's wish. */
  cancel(callId: string): boolean {
    const run = this.find(callId);
    if (!run || !isActive(run)) return false;
    this.#parts.counters.cancelled += 1;
    this.#stop(run, "Cancelled");
    return true;
  }

  /** Fails every call that runs or waits. */
  stopAll(failure: string): void {
    const all = [...this.#running, ...this.#waiting.toArray()];
    // None of the waiting ones may start in between.
    for (const run of all) this.#applyEnd(run, failure);
  }

  /** Forgets finished streams, as a restart does. */
  dropKept(): void {
    this.#byCallId.clear();
    this.#prefixes.clear();
  }

  #countConcurrent(): void {
    const { counters } = this.#parts;
    const concurrent = this.runningCount + this.waitingCount;
    counters.maxConcurrent = Math.max(counters.maxConcurrent, concurrent);
    if (!this.warmth.isCold(performance.now())) return;
    counters.maxConcurrentWhileCold = Math.max(
      counters.maxConcurrentWhileCold,
      concurrent,
    );
  }

  #startNext(): void {
    const { warmConcurrency } = this.#parts.settings;
    while (this.#running.size < warmConcurrency) {
      const run = this.#waiting.pop();
      if (!run) return;
      this.#start(run);
    }
  }

  #start(run: Run): void {
    run.state = "running";
    run.startedAt = performance.now();
    this.#running.add(run);
    this.runCounts.add(run.request);
    const prefixFactor = this.#updatePrefixes(run) ? PREFIX_HIT_FACTOR : 1;
    const serviceMs = this.#parts.settings.serviceMs * prefixFactor;
    this.#startTimer(run, serviceMs, () => {
      if (run.request.stream) this.#addPart(run);
      else this.#stop(run);
    });
  }

  #addPart(run: Run): void {
    const { tokens, partMs } = this.#parts.settings;
    if (run.parts.length >= tokens) return this.#stop(run);
    const index = run.parts.length;
    run.parts.push(index === 0 ? `${run.request.digest} ` : `t${index} `);
    for (const listener of run.listeners) listener.handlePart();
    this.#startTimer(run, partMs, () => this.#addPart(run));
  }

  #startTimer(run: Run, baseMs: number, next: () => void): void {
    const ms = baseMs * this.#getSlowness();
    run.timer = ms > 0 ? setTimeout(next, ms) : setImmediate(next);
  }

  /** Grows with the batch: tokens of a full batch come later. */
  #getSlowness(): number {
    const { batchSlowdown, warmConcurrency, jitter } = this.#parts.settings;
    const fill = (this.#running.size - 1) / warmConcurrency;
    const spread = 1 + jitter * (2 * this.#random() - 1);
    const slowFactor = this.#parts.faults.slowFactor;
    return slowFactor * (1 + batchSlowdown * fill) * spread;
  }

  #updatePrefixes(run: Run): boolean {
    const { input } = run.request;
    const prefix = (input as { prefix?: unknown } | null)?.prefix;
    if (prefix === undefined) return false;
    const isHit = this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    if (this.#prefixes.size > this.#parts.settings.prefixCacheSize) {
      const [oldest] = this.#prefixes;
      this.#prefixes.delete(oldest);
    }
    if (isHit) this.#parts.counters.prefixHits += 1;
    return isHit;
  }

  #stop(run: Run, failure?: string): void {
    this.#applyEnd(run, failure);
    this.#startNext();
  }

  #applyEnd(run: Run, wantedFailure?: string): void {
    const { counters } = this.#parts;
    const failure = wantedFailure ?? this.#decideFailure();
    if (run.state === "waiting") this.#waiting.remove(run);
    clearTimeout(run.timer as NodeJS.Timeout);
    clearImmediate(run.timer as NodeJS.Immediate);
    this.#running.delete(run);
    run.failure = failure ?? "";
    run.state = failure === undefined ? "finished" : "failed";
    if (run.startedAt > 0) run.workerMs = performance.now() - run.startedAt;
    if (failure === undefined) {
      counters.finished += 1;
      this.warmth.countFinished();
    } else {
      counters.failed += 1;
    }
    this.#addKept(run);
    for (const listener of run.listeners) listener.handleEnd();
  }

  #decideFailure(): string | undefined {
    if (this.#parts.faults.fail === 0) return undefined;
    this.#parts.faults.fail -= 1;
    return "Call failed";
  }

  #addKept(run: Run): void {
    if (!run.request.stream) {
      this.#byCallId.delete(run.request.callId);
      return;
    }
    if (this.#byCallId.size <= MAX_KEPT_RUNS) return;
    for (const [callId, kept] of this.#byCallId) {
      if (isActive(kept)) continue;
      this.#byCallId.delete(callId);
      return;
    }
  }
}

function isActive(run: Run): boolean {
  return run.state === "waiting" || run.state === "running";
}

/** Lower priority numbers go first, then earlier arrivals. */
function compareRuns(left: Run, right: Run): number {
  return left.request.priority - right.request.priority ||
    left.arrival - right.arrival;
}
