/**
 * The batch of a fake endpoint: which calls run, which wait, and for how long.
 * It does no network I/O.
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
import { WarmupState } from "./warmup_state.ts";

/** Runs above which finished streams are no longer kept for a resume. */
const MAX_KEPT_RUNS = 512;
/** Share of the service time that a prompt with a cached prefix takes. */
const PREFIX_HIT_FACTOR = 0.5;

/** What an {@link Engine} shares with its endpoint. */
export interface EngineContext {
  readonly settings: EndpointSettings;
  readonly faults: ActiveFaults;
  readonly counters: FakeEndpointCounters;
}

/** Runs calls in a batch, ordered by priority. */
export class Engine {
  readonly warmup: WarmupState;
  readonly runCounts = new RunCounts();
  readonly #context: EngineContext;
  readonly #random: RandomSource;
  readonly #running = new Set<Run>();
  readonly #waiting = new Heap<Run>(compareRuns);
  readonly #byCallId = new Map<string, Run>();
  readonly #prefixes = new Set<unknown>();
  #arrivalCount = 0;

  constructor(context: EngineContext) {
    this.#context = context;
    this.#random = createRandom(context.settings.seed);
    this.warmup = new WarmupState(context.settings, performance.now());
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get waitingCount(): number {
    return this.#waiting.size();
  }

  /** Whether the queue has space for another call. */
  hasQueueSpace(): boolean {
    return this.waitingCount < this.#context.settings.maxWaiting;
  }

  /** Finds an active call or a stream that can be resumed. */
  find(callId: string): Run | undefined {
    return this.#byCallId.get(callId);
  }

  /** Adds a call to the queue; it starts when the batch has space. */
  add(request: RunRequest): Run {
    const run = createRun(request, this.#arrivalCount);
    this.#arrivalCount += 1;
    this.#byCallId.set(request.callId, run);
    this.#waiting.push(run);
    this.#countConcurrent();
    // Deferred, so that the caller can add a listener first.
    queueMicrotask(() => this.#startNext());
    return run;
  }

  /** On too many concurrent calls while cold, fails every call and turns cold. */
  checkOverload(): void {
    const now = performance.now();
    const concurrent = this.runningCount + this.waitingCount;
    if (!this.warmup.isOverload(concurrent, now)) return;
    this.#context.counters.fellOver += 1;
    this.warmup.handleOverload(now);
    this.stopAll("Endpoint was overloaded while cold");
  }

  /** Cancels an active call. */
  cancel(callId: string): boolean {
    const run = this.find(callId);
    if (!run || !isActive(run)) return false;
    this.#context.counters.cancelled += 1;
    this.#stop(run, "Call was cancelled");
    return true;
  }

  /** Fails every running or waiting call. */
  stopAll(failure: string): void {
    const runs = [...this.#running, ...this.#waiting.toArray()];
    // Not `#stop`: it would start waiting calls in between.
    for (const run of runs) this.#endRun(run, failure);
  }

  /** Drops finished streams and cached prefixes, as a restart does. */
  dropFinishedStreams(): void {
    this.#byCallId.clear();
    this.#prefixes.clear();
  }

  #countConcurrent(): void {
    const { counters } = this.#context;
    const concurrent = this.runningCount + this.waitingCount;
    counters.maxConcurrent = Math.max(counters.maxConcurrent, concurrent);
    if (!this.warmup.isCold(performance.now())) return;
    counters.maxConcurrentWhileCold = Math.max(
      counters.maxConcurrentWhileCold,
      concurrent,
    );
  }

  #startNext(): void {
    const { warmConcurrency } = this.#context.settings;
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
    const serviceMs = this.#context.settings.serviceMs * prefixFactor;
    this.#startTimer(run, serviceMs, () => {
      if (run.request.stream) this.#addPart(run);
      else this.#stop(run);
    });
  }

  #addPart(run: Run): void {
    const { tokens, partMs } = this.#context.settings;
    if (run.parts.length >= tokens) return this.#stop(run);
    const index = run.parts.length;
    run.parts.push(index === 0 ? `${run.request.digest} ` : `t${index} `);
    for (const listener of run.listeners) listener.handlePart();
    this.#startTimer(run, partMs, () => this.#addPart(run));
  }

  #startTimer(run: Run, baseMs: number, next: () => void): void {
    const ms = baseMs * this.#getSlowdownFactor();
    run.timer = ms > 0 ? setTimeout(next, ms) : setImmediate(next);
  }

  /** Returns the time factor; it grows with the number of running calls. */
  #getSlowdownFactor(): number {
    const { batchSlowdown, warmConcurrency, jitter } = this.#context.settings;
    const fill = (this.#running.size - 1) / warmConcurrency;
    const spread = 1 + jitter * (2 * this.#random() - 1);
    const slowFactor = this.#context.faults.slowFactor;
    return slowFactor * (1 + batchSlowdown * fill) * spread;
  }

  #updatePrefixes(run: Run): boolean {
    const { input } = run.request;
    const prefix = (input as { prefix?: unknown } | null)?.prefix;
    if (prefix === undefined) return false;
    const isHit = this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    if (this.#prefixes.size > this.#context.settings.prefixCacheSize) {
      const [oldest] = this.#prefixes;
      this.#prefixes.delete(oldest);
    }
    if (isHit) this.#context.counters.prefixHits += 1;
    return isHit;
  }

  #stop(run: Run, failure?: string): void {
    this.#endRun(run, failure);
    this.#startNext();
  }

  #endRun(run: Run, givenFailure?: string): void {
    const { counters } = this.#context;
    const failure = givenFailure ?? this.#consumeFail();
    if (run.state === "waiting") this.#waiting.remove(run);
    clearTimeout(run.timer as NodeJS.Timeout);
    clearImmediate(run.timer as NodeJS.Immediate);
    this.#running.delete(run);
    run.failure = failure ?? "";
    run.state = failure === undefined ? "finished" : "failed";
    if (run.startedAt > 0) run.workerMs = performance.now() - run.startedAt;
    if (failure === undefined) {
      counters.finished += 1;
      this.warmup.countFinished();
    } else {
      counters.failed += 1;
    }
    this.#evictFinished(run);
    for (const listener of run.listeners) listener.handleEnd();
  }

  #consumeFail(): string | undefined {
    if (this.#context.faults.fail === 0) return undefined;
    this.#context.faults.fail -= 1;
    return "Call failed by an injected fault";
  }

  #evictFinished(run: Run): void {
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

/** Orders by priority, lowest number first, then by arrival. */
function compareRuns(left: Run, right: Run): number {
  return left.request.priority - right.request.priority ||
    left.arrival - right.arrival;
}
