/**
 * Judgements of published records, for the publisher that waits for its record
 * and for operators.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { ConfigurationRecord } from "./record.ts";

/** Judgement of a published record. */
export type PublishJudgement =
  | { readonly kind: "unseen" }
  | { readonly kind: "accepted"; readonly version: number }
  /** Another version was in force at its offset. */
  | { readonly kind: "lost"; readonly inForce: number; readonly author: string }
  | { readonly kind: "invalid"; readonly faults: readonly string[] };

/** A published record with its judgement at its offset. */
export interface HistoryEntry {
  readonly offset: Offset;
  readonly time: number;
  readonly recordId: string;
  readonly author: string;
  readonly note: string;
  readonly base: number;
  /** The version it became; undefined when it was not accepted. */
  readonly version?: number;
}

/** A judged record for {@link PublishHistory.add}. */
export interface JudgedRecord {
  readonly offset: Offset;
  readonly time: number;
  readonly record: Extract<ConfigurationRecord, { kind: "publish" }>;
  readonly judgement: PublishJudgement;
  /** Whether no earlier copy of the record can have a different judgement. */
  readonly isConclusive: boolean;
}

/** Some months of changes; operators read only the newest few. */
const MAX_ENTRIES = 500;

/** Keeps the newest judged records; it does not influence judgements. */
export class PublishHistory {
  readonly #entries: HistoryEntry[] = [];
  readonly #judgements = new Map<string, PublishJudgement>();

  /** The kept records, newest last. */
  get entries(): readonly HistoryEntry[] {
    return this.#entries;
  }

  /**
   * Adds a judged record.
   *
   * A publish may be sent twice after a lost answer. If its first copy is
   * accepted, the second loses to it; the judgement stays `accepted`.
   */
  add(
    { offset, time, record, judgement, isConclusive }: JudgedRecord,
  ): void {
    const { recordId, author, note, base } = record;
    const version = judgement.kind === "accepted"
      ? judgement.version
      : undefined;
    this.#entries.push({
      offset,
      time,
      recordId,
      author,
      note,
      base,
      version,
    });
    if (this.#entries.length > MAX_ENTRIES) this.#entries.shift();
    if (isConclusive) this.#setJudgement(recordId, judgement);
  }

  /** Returns the judgement of a record; `unseen` if it is not known. */
  getJudgement(recordId: string): PublishJudgement {
    return this.#judgements.get(recordId) ?? { kind: "unseen" };
  }

  #setJudgement(recordId: string, judgement: PublishJudgement): void {
    if (this.#judgements.get(recordId)?.kind === "accepted") return;
    this.#judgements.set(recordId, judgement);
    if (this.#judgements.size <= MAX_ENTRIES) return;
    const [oldest] = this.#judgements.keys();
    this.#judgements.delete(oldest);
  }
}
