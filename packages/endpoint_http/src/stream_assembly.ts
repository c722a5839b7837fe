/**
 * Puts the parts of one streamed answer in order.
 *
 * Failures handled here: parts that come twice, late, out of order or for
 * another call. Each shows in its sequence number or call id, so a whole
 * answer is one in which every number up to the last part's was held once.
 *
 * @module
 */
import type { OutputPart, StageAnswer } from "@sardinestep/ports";
import type { CallId } from "@sardinestep/types";
import type { EndpointCounters } from "./counters.ts";

/** Parts held while an earlier one is missing; a resume brings the rest. */
const MAX_HELD_PARTS = 4096;

/** What the last part carries. */
interface LastPart {
  /** How many parts the whole answer has. */
  readonly parts: number;
  readonly answer: StageAnswer;
}

/** What {@link StreamAssembly} needs to know of its call. */
export interface AssemblyOptions {
  readonly callId: CallId;
  readonly counters: EndpointCounters;
  readonly onPart?: (part: OutputPart) => void;
  /** Called once, when the answer is whole. */
  readonly onWhole?: () => void;
}

/** The parts of one call, over all its connections. */
export class StreamAssembly {
  readonly #options: AssemblyOptions;
  readonly #texts: string[] = [];
  readonly #held = new Map<number, string>();
  #last?: LastPart;
  #failure?: string;

  constructor(options: AssemblyOptions) {
    this.#options = options;
  }

  /** The sequence number to resume from. */
  get next(): number {
    return this.#texts.length;
  }

  /** What the endpoint said when it gave the call up. */
  get failure(): string | undefined {
    return this.#failure;
  }

  /** The whole answer, undefined while a part is missing. */
  get answer(): StageAnswer | undefined {
    if (!this.#last || this.next < this.#last.parts) return undefined;
    return { ...this.#last.answer, output: { text: this.#texts.join("") } };
  }

  /** Takes one server-sent event. */
  handleEvent(name: string | undefined, data: string): void {
    const value = parseObject(data);
    const { counters, callId } = this.#options;
    if (!value) counters.malformedParts += 1;
    else if (value.callId !== callId) counters.foreignParts += 1;
    else if (name === "part") this.#addPart(value.sequence, value.text);
    else if (name === "last") this.#setLast(value);
    else if (name === "error") this.#failure = String(value.message);
  }

  // No zod and no pattern here: it runs for each token.
  #addPart(sequence: unknown, text: unknown): void {
    const { counters } = this.#options;
    if (!isSequence(sequence) || typeof text !== "string") {
      counters.malformedParts += 1;
    } else if (this.answer) {
      counters.lateParts += 1;
    } else if (sequence < this.next || this.#held.has(sequence)) {
      counters.doubledParts += 1;
    } else if (sequence > this.next) {
      counters.reorderedParts += 1;
      if (this.#held.size < MAX_HELD_PARTS) this.#held.set(sequence, text);
    } else {
      this.#applyPart(text);
      this.#applyHeld();
      this.#checkWhole();
    }
  }

  #applyPart(text: string): void {
    const part = { sequence: this.next, text };
    this.#texts.push(text);
    this.#options.onPart?.(part);
  }

  #applyHeld(): void {
    while (this.#held.size > 0) {
      const text = this.#held.get(this.next);
      if (text === undefined) return;
      this.#held.delete(this.next);
      this.#applyPart(text);
    }
  }

  #setLast(value: Readonly<Record<string, unknown>>): void {
    const answer = parseAnswer(value);
    if (!answer || !isSequence(value.parts)) {
      this.#options.counters.malformedParts += 1;
    } else if (this.#last) {
      this.#options.counters.doubledParts += 1;
    } else {
      this.#last = { parts: value.parts, answer };
      this.#checkWhole();
    }
  }

  #checkWhole(): void {
    if (this.#last && this.next >= this.#last.parts) this.#options.onWhole?.();
  }
}

/**
 * Checks the fields of an answer by hand: it runs for each call.
 *
 * @param value Parsed JSON.
 * @returns The answer, undefined if a field is missing or has another type.
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
