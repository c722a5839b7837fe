/**
 * Writes one JSON line per decision to standard output, at a limited rate.
 *
 * @module
 */

/** Fields of an event; nested values should be small. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Origin, output and limits of an {@link EventLog}. */
export interface EventLogOptions {
  readonly process: string;
  readonly vmId: string;
  /** Defaults to standard output. */
  readonly output?: EventOutput;
  /** Sustained lines per second of one event. */
  readonly linesPerSecond?: number;
  /** Maximum burst of lines of one event. */
  readonly burst?: number;
  /** Monotonic clock, in milliseconds. */
  readonly readMonotonicMs?: () => number;
  /** Wall clock, in milliseconds since the Unix epoch. */
  readonly readWallMs?: () => number;
}

/** The part of a writable stream that {@link EventLog} uses. */
export interface EventOutput {
  write(text: string): unknown;
  readonly writableLength: number;
}

/**
 * Lines per second of one event. A VM serves about ten requests per second with
 * a few lines each; four times that keeps every line of a busy second.
 */
const DEFAULT_LINES_PER_SECOND = 100;
/** The lines of two busy seconds. */
const DEFAULT_BURST = 200;
/** Lines are dropped above this limit: the reader has stopped reading. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Minimum interval between reports of dropped lines. */
const REPORT_INTERVAL_MS = 5_000;

interface Bucket {
  tokens: number;
  refilledAt: number;
  dropped: number;
}

/**
 * Writes events as JSON lines.
 *
 * A token bucket per event keeps a flood of lines from using up the CPU. If the
 * reader stops, lines are dropped and counted; otherwise the process would
 * block or its memory would grow.
 *
 * @example
 * ```ts
 * const events = new EventLog({ process: "gateway", vmId: "vm-1" });
 * events.write("request_refused", { requestId: "a1", reason: "busy" });
 * ```
 */
export class EventLog {
  readonly #options: EventLogOptions;
  readonly #output: EventOutput;
  readonly #buckets = new Map<string, Bucket>();
  readonly #readMonotonicMs: () => number;
  #sequence = 0;
  #droppedTotal = 0;
  #reportedAt = -Infinity;

  /** @param options Origin, output and limits. */
  constructor(options: EventLogOptions) {
    this.#options = options;
    this.#output = options.output ?? process.stdout;
    this.#readMonotonicMs = options.readMonotonicMs ??
      (() => performance.now());
  }

  /** Number of lines dropped since the start. */
  get droppedTotal(): number {
    return this.#droppedTotal;
  }

  /** Writes one line, or drops and counts it. */
  write(event: string, fields: EventFields): void {
    const now = this.#readMonotonicMs();
    const bucket = this.#refillBucket(event, now);
    const isOutputBlocked = this.#output.writableLength > MAX_BUFFERED_BYTES;
    if (bucket.tokens < 1 || isOutputBlocked) {
      bucket.dropped += 1;
      this.#droppedTotal += 1;
      return;
    }
    bucket.tokens -= 1;
    this.#writeLine(event, fields);
    if (now - this.#reportedAt > REPORT_INTERVAL_MS) this.#reportDropped(now);
  }

  #refillBucket(event: string, now: number): Bucket {
    const rate = this.#options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    const burst = this.#options.burst ?? DEFAULT_BURST;
    const bucket = this.#buckets.get(event) ??
      { tokens: burst, refilledAt: now, dropped: 0 };
    this.#buckets.set(event, bucket);
    const refill = (now - bucket.refilledAt) / 1_000 * rate;
    bucket.tokens = Math.min(burst, bucket.tokens + refill);
    bucket.refilledAt = now;
    return bucket;
  }

  #reportDropped(now: number): void {
    this.#reportedAt = now;
    for (const [event, bucket] of this.#buckets) {
      if (bucket.dropped === 0) continue;
      this.#writeLine("lines_dropped", { of: event, count: bucket.dropped });
      bucket.dropped = 0;
    }
  }

  #writeLine(event: string, fields: EventFields): void {
    const readWallMs = this.#options.readWallMs ?? Date.now;
    this.#sequence += 1;
    const line = {
      time: new Date(readWallMs()).toISOString(),
      process: this.#options.process,
      vm: this.#options.vmId,
      sequence: this.#sequence,
      event,
      ...fields,
    };
    this.#output.write(`${JSON.stringify(line)}\n`);
  }
}
