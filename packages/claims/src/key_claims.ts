/**
 * Status of one key, folded from its claims, releases and outcomes.
 *
 * @module
 */
import type { ClaimId, ClaimRecord, KeyStatus } from "./record.ts";

type OutcomeRecord = Extract<ClaimRecord, { kind: "outcome" }>;

/** A claim that was appended inside its key's window. */
interface ValidClaim {
  readonly id: ClaimId;
  readonly fingerprint: string;
  /** Whether no earlier claim of the key can have been missed. */
  readonly isHistoryComplete: boolean;
}

/** Recorded outcome of the dispatch under a claim. */
interface ClaimOutcome {
  readonly claim: ValidClaim;
  readonly outcome: OutcomeRecord["outcome"];
  readonly answer?: unknown;
}

/** Whether a claim holds its key, or why not. */
export type ClaimJudgement =
  | "unseen"
  | "won"
  | "lost"
  | "expired"
  | "released";

/**
 * Formats a claim id as a map key.
 *
 * @param id The claim.
 * @returns A text that is unique to the claim.
 * @example
 * ```ts
 * formatClaimId({ instance: "a", sequence: 1 }); // "1@a"
 * ```
 */
export function formatClaimId(id: ClaimId): string {
  return `${id.sequence}@${id.instance}`;
}

/** The claims of one key, in log order. */
export class KeyClaims {
  /** By {@link formatClaimId}, in the order in which they first appear. */
  readonly #claims = new Map<string, ValidClaim>();
  /** Claims that are void permanently, including ones not read yet. */
  readonly #released = new Set<string>();
  #knownOutcome: ClaimOutcome | undefined;

  /** Whether the key has neither claims nor releases. */
  get isEmpty(): boolean {
    return this.#claims.size === 0 && this.#released.size === 0;
  }

  /**
   * Adds a claim that was appended inside the key's window.
   *
   * Duplicates have no effect: an append whose response was lost is retried, so
   * its claim may be in the log twice, the second time behind another claim.
   *
   * @returns Whether the claim is not a duplicate.
   */
  addClaim(claim: ValidClaim): boolean {
    const claimKey = formatClaimId(claim.id);
    if (this.#claims.has(claimKey)) return false;
    this.#claims.set(claimKey, claim);
    return true;
  }

  /**
   * Voids a claim permanently.
   *
   * The id is kept because the release may precede a delayed copy of the claim,
   * which would otherwise hold the key although its claimant has given up. A
   * claim that has an outcome can't be released: a second call could run.
   *
   * @returns Whether the release took effect.
   */
  addRelease(id: ClaimId): boolean {
    const claimKey = formatClaimId(id);
    if (
      this.#knownOutcome &&
      formatClaimId(this.#knownOutcome.claim.id) === claimKey
    ) {
      return false;
    }
    this.#released.add(claimKey);
    return true;
  }

  /**
   * Records the outcome of the dispatch; accepted only from the key's holder.
   *
   * The first outcome is final, except that `completed` replaces `unknown`: a
   * call that was given up as unknown may still complete.
   *
   * @returns Whether the outcome took effect.
   */
  addOutcome(record: OutcomeRecord): boolean {
    const holder = this.#findHolder();
    if (!holder) return false;
    if (formatClaimId(holder.id) !== formatClaimId(record.id)) return false;
    if (this.#knownOutcome?.outcome === "completed") return false;
    if (this.#knownOutcome?.outcome === record.outcome) return false;
    const { outcome, answer } = record;
    this.#knownOutcome = { claim: holder, outcome, answer };
    return true;
  }

  /** Judges a claim; undefined if it was not read. */
  judge(id: ClaimId): Exclude<ClaimJudgement, "unseen"> | undefined {
    const claimKey = formatClaimId(id);
    if (this.#released.has(claimKey)) return "released";
    if (!this.#claims.has(claimKey)) return undefined;
    const holder = this.#findHolder();
    if (!holder || formatClaimId(holder.id) !== claimKey) return "lost";
    return holder.isHistoryComplete ? "won" : "expired";
  }

  /** Status of the key, from all records applied so far. */
  getStatus(): KeyStatus {
    if (this.#knownOutcome) return formatOutcome(this.#knownOutcome);
    const holder = this.#findHolder();
    if (!holder) return { kind: "free" };
    if (!holder.isHistoryComplete) return { kind: "expired" };
    const { id, fingerprint } = holder;
    return { kind: "held", holder: id, fingerprint };
  }

  #findHolder(): ValidClaim | undefined {
    for (const [claimKey, claim] of this.#claims) {
      if (!this.#released.has(claimKey)) return claim;
    }
    return undefined;
  }
}

function formatOutcome(claimOutcome: ClaimOutcome): KeyStatus {
  const { id: holder, fingerprint } = claimOutcome.claim;
  if (claimOutcome.outcome === "unknown") {
    return { kind: "unknown", holder, fingerprint };
  }
  return {
    kind: "completed",
    holder,
    fingerprint,
    answer: claimOutcome.answer,
  };
}
