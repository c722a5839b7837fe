/**
 * One JSON line for each decision, on standard output, bounded in volume.
 *
 * @module
 */

/** Values of an event; nested ones stay small. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Where the lines of one process go. */
export interface EventLogOptions {
  readonly process: string;
  readonly vmId: string;
  /** Output; standard output by default. */
  readonly output?: EventOutput;
  /** Lines a second of one event that are kept in the long run. */
  readonly linesPerSecond?: number;
  /** Lines of one event that may come at once. */
  readonly burst?: number;
  /** Steady clock, in milliseconds. */
  readonly readSteadyMs?: () => number;
  /** Wall clock, in milliseconds since the Unix epoch. */
  readonly readWallMs?: () => number;
}

/** The part of a writable stream that is used. */
export interface EventOutput {
  write(text: string): unknown;
  readonly writableLength: number;
}

/**
 * Lines a second of one event. A VM serves some ten requests a second with a
 * few lines each; four times that keeps every line of a busy second.
 */
const DEFAULT_LINES_PER_SECOND = 100;
/** Two busy seconds at once. */
const DEFAULT_BURST = 200;
/** Unwritten bytes above which lines are dropped: a reader that stopped. */
const MAX_UNWRITTEN_BYTES = 1_048_576;
/** How often a full bucket says how many lines it dropped, in milliseconds. */
const DROP_REPORT_MS = 5_000;

interface Bucket {
  tokens: number;
  filledAt: number;
  dropped: number;
}

/**
 * Writes events.
 *
 * Guards against two harms of logging: a flood that takes the processor, held
 * off by a token bucket for each event, and a reader that stops, which would
 * make the process wait or grow; lines are dropped and counted instead.
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
  readonly #readSteadyMs: () => number;
  #sequence = 0;
  #droppedTotal = 0;
  #reportedAt = -Infinity;

  /** @param options Names, output and bounds. */
  constructor(options: EventLogOptions) {
    this.#options = options;
    this.#output = options.output ?? process.stdout;
    this.#readSteadyMs = options.readSteadyMs ?? (() => performance.now());
  }

  /** Lines that were dropped since the start. */
  get droppedTotal(): number {
    return this.#droppedTotal;
  }

  /** Writes one line, or counts it as dropped. */
  write(event: string, fields: EventFields): void {
    const now = this.#readSteadyMs();
    const bucket = this.#fillBucket(event, now);
    const isStuck = this.#output.writableLength > MAX_UNWRITTEN_BYTES;
    if (bucket.tokens < 1 || isStuck) {
      bucket.dropped += 1;
      this.#droppedTotal += 1;
      return;
    }
    bucket.tokens -= 1;
    this.#writeLine(event, fields);
    if (now - this.#reportedAt > DROP_REPORT_MS) this.#reportDropped(now);
  }

  #fillBucket(event: string, now: number): Bucket {
    const rate = this.#options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    const burst = this.#options.burst ?? DEFAULT_BURST;
    const bucket = this.#buckets.get(event) ??
      { tokens: burst, filledAt: now, dropped: 0 };
    this.#buckets.set(event, bucket);
    const earned = (now - bucket.filledAt) / 1_000 * rate;
    bucket.tokens = Math.min(burst, bucket.tokens + earned);
    bucket.filledAt = now;
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
