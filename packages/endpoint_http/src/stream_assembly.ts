/**
 * Assembles the parts of one streamed answer in order.
 *
 * Parts may be duplicated, late, out of order or belong to another call, which
 * their sequence numbers and call ids reveal. The answer is complete once every
 * sequence number up to the last part's was received.
 *
 * @module
 */
import type { OutputPart, StageAnswer } from "@sardinestep/ports";
import type { CallId } from "@sardinestep/types";
import type { EndpointCounters } from "./counters.ts";

/** Early parts buffered while one is missing; a resume delivers the rest. */
const MAX_EARLY_PARTS = 4096;

/** Content of the last part. */
interface LastPart {
  /** Number of parts of the complete answer. */
  readonly parts: number;
  readonly answer: StageAnswer;
}

/** Options of {@link StreamAssembly}. */
export interface AssemblyOptions {
  readonly callId: CallId;
  readonly counters: EndpointCounters;
  readonly onPart?: (part: OutputPart) => void;
  /** Called once, when the answer is complete. */
  readonly onDone?: () => void;
}

/** Collects the parts of one call over all its connections. */
export class StreamAssembly {
  readonly #options: AssemblyOptions;
  readonly #texts: string[] = [];
  readonly #early = new Map<number, string>();
  #last?: LastPart;
  #failure?: string;

  constructor(options: AssemblyOptions) {
    this.#options = options;
  }

  /** The sequence number to resume from. */
  get next(): number {
    return this.#texts.length;
  }

  /** The error message of the endpoint, if it failed the call. */
  get failure(): string | undefined {
    return this.#failure;
  }

  /** The complete answer; undefined while a part is missing. */
  get answer(): StageAnswer | undefined {
    if (!this.#last || this.next < this.#last.parts) return undefined;
    return { ...this.#last.answer, output: { text: this.#texts.join("") } };
  }

  /** Handles one server-sent event. */
  handleEvent(name: string | undefined, data: string): void {
    const value = parseObject(data);
    const { counters, callId } = this.#options;
    if (!value) counters.malformedParts += 1;
    else if (value.callId !== callId) counters.foreignParts += 1;
    else if (name === "part") this.#addPart(value.sequence, value.text);
    else if (name === "last") this.#setLast(value);
    else if (name === "error") this.#failure = String(value.message);
  }

  // Checked without zod or ts-pattern, because this runs for each token.
  #addPart(sequence: unknown, text: unknown): void {
    const { counters } = this.#options;
    if (!isSequence(sequence) || typeof text !== "string") {
      counters.malformedParts += 1;
    } else if (this.answer) {
      counters.lateParts += 1;
    } else if (sequence < this.next || this.#early.has(sequence)) {
      counters.duplicatedParts += 1;
    } else if (sequence > this.next) {
      counters.reorderedParts += 1;
      if (this.#early.size < MAX_EARLY_PARTS) this.#early.set(sequence, text);
    } else {
      this.#applyPart(text);
      this.#applyEarly();
      this.#checkComplete();
    }
  }

  #applyPart(text: string): void {
    const part = { sequence: this.next, text };
    this.#texts.push(text);
    this.#options.onPart?.(part);
  }

  #applyEarly(): void {
    while (this.#early.size > 0) {
      const text = this.#early.get(this.next);
      if (text === undefined) return;
      this.#early.delete(this.next);
      this.#applyPart(text);
    }
  }

  #setLast(value: Readonly<Record<string, unknown>>): void {
    const answer = parseAnswer(value);
    if (!answer || !isSequence(value.parts)) {
      this.#options.counters.malformedParts += 1;
    } else if (this.#last) {
      this.#options.counters.duplicatedParts += 1;
    } else {
      this.#last = { parts: value.parts, answer };
      this.#checkComplete();
    }
  }

  #checkComplete(): void {
    if (this.#last && this.next >= this.#last.parts) this.#options.onDone?.();
  }
}

/**
 * Validates the fields of an answer without zod, because it runs for each call.
 *
 * @param value Parsed JSON.
 * @returns The answer; undefined if a field is missing or has the wrong type.
 */
export function parseAnswer(
  value: Readonly<Record<string, unknown>>,
): StageAnswer | undefined {
  const { callId, instance, output, outputTokens, workerMs } = value;
  if (typeof callId !== "string" || typeof instance !== "string") {
    return undefined;
  }
  if (typeof outputTokens !== "number" || typeof workerMs !== "number") {
    return undefined;
  }
  return { callId, instance, output, outputTokens, workerMs };
}

function isSequence(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseObject(data: string): Record<string, unknown> | undefined {
  try {
    const value = JSON.parse(data);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
