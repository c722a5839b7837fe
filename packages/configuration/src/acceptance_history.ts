/**
 * How published records were judged, for the publisher that reads its record
 * back and for operators.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { ConfigurationRecord } from "./record.ts";

/** How a published record stands. */
export type PublishJudgement =
  | { readonly kind: "unseen" }
  | { readonly kind: "accepted"; readonly version: number }
  /** Another version was in force at its offset. */
  | { readonly kind: "lost"; readonly inForce: number; readonly author: string }
  | { readonly kind: "invalid"; readonly faults: readonly string[] };

/** One published record as judged at its offset. */
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

/** A judged record for {@link AcceptanceHistory.add}. */
export interface JudgedRecord {
  readonly offset: Offset;
  readonly time: number;
  readonly record: Extract<ConfigurationRecord, { kind: "publish" }>;
  readonly judgement: PublishJudgement;
  /** Whether no earlier copy of the record can have been judged otherwise. */
  readonly isCertain: boolean;
}

/** Some months of changes; operators look at the newest few. */
const MAX_ENTRIES = 500;

/** Keeps the newest judged records; it has no part in judging. */
export class AcceptanceHistory {
  readonly #entries: HistoryEntry[] = [];
  readonly #judgements = new Map<string, PublishJudgement>();

  /** The newest last. */
  get entries(): readonly HistoryEntry[] {
    return this.#entries;
  }

  /**
   * Keeps a judged record.
   *
   * A publish whose answer was lost may be sent twice. Its first copy may be
   * accepted and the second then loses to it: `accepted` stays the answer.
   */
  add({ offset, time, record, judgement, isCertain }: JudgedRecord): void {
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
    if (isCertain) this.#setJudgement(recordId, judgement);
  }

  /** How the record of that name stands. */
  judge(recordId: string): PublishJudgement {
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
