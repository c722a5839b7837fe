/**
 * What the log says of one key: the fold over its claims, releases and
 * outcomes.
 *
 * @module
 */
import type { ClaimId, ClaimRecord, KeyStatus } from "./record.ts";

type OutcomeRecord = Extract<ClaimRecord, { kind: "outcome" }>;

/** A claim that counts. */
interface CountedClaim {
  readonly id: ClaimId;
  readonly fingerprint: string;
  /** Whether an earlier claim of the key would have been read as well. */
  readonly isCovered: boolean;
}

/** What became of the dispatch under a claim. */
interface KnownOutcome {
  readonly claim: CountedClaim;
  readonly outcome: OutcomeRecord["outcome"];
  readonly answer?: unknown;
}

/** How one claim stands. */
export type ClaimJudgement =
  | "unseen"
  | "won"
  | "lost"
  | "expired"
  | "released";

/**
 * Formats a claim's name as a key for maps.
 *
 * @param id The claim.
 * @returns A text that differs for different claims.
 * @example
 * ```ts
 * formatClaimId({ instance: "a", sequence: 1 }); // "1@a"
 * ```
 */
export function formatClaimId(id: ClaimId): string {
  return `${id.sequence}@${id.instance}`;
}

/** The claims of one key, in the order of the log. */
export class KeyClaims {
  /** By name, in the order of their first copies. */
  readonly #claims = new Map<string, CountedClaim>();
  /** Names that are void for good, also where no copy was read yet. */
  readonly #released = new Set<string>();
  #known: KnownOutcome | undefined;

  /** Whether nothing counts under this key. */
  get isEmpty(): boolean {
    return this.#claims.size === 0 && this.#released.size === 0;
  }

  /**
   * Takes in a claim whose time was found right.
   *
   * A copy changes nothing: an append whose answer was lost is sent again and
   * may stand in the log twice, the second time behind another's claim.
   *
   * @returns Whether it was the first copy.
   */
  addClaim(claim: CountedClaim): boolean {
    const name = formatClaimId(claim.id);
    if (this.#claims.has(name)) return false;
    this.#claims.set(name, claim);
    return true;
  }

  /**
   * Voids one claim for good.
   *
   * The name is kept: the release may overtake a late copy of the claim, which
   * would otherwise come to life with nobody behind it. A claim whose dispatch
   * has an outcome can't be released; that would let a second call run.
   *
   * @returns Whether the release counts.
   */
  addRelease(id: ClaimId): boolean {
    const name = formatClaimId(id);
    if (this.#known && formatClaimId(this.#known.claim.id) === name) {
      return false;
    }
    this.#released.add(name);
    return true;
  }

  /**
   * Takes in what became of the dispatch; only the holder can know it.
   *
   * The first outcome stands, but for a late truth: a call given up as unknown
   * may still turn out completed, and completed is never taken back.
   *
   * @returns Whether the outcome counts.
   */
  addOutcome(record: OutcomeRecord): boolean {
    const holder = this.#findHolder();
    if (!holder) return false;
    if (formatClaimId(holder.id) !== formatClaimId(record.id)) return false;
    if (this.#known?.outcome === "completed") return false;
    if (this.#known?.outcome === record.outcome) return false;
    const { outcome, answer } = record;
    this.#known = { claim: holder, outcome, answer };
    return true;
  }

  /** How a claim stands; undefined when none of its copies was read. */
  judge(id: ClaimId): Exclude<ClaimJudgement, "unseen"> | undefined {
    const name = formatClaimId(id);
    if (this.#released.has(name)) return "released";
    if (!this.#claims.has(name)) return undefined;
    const holder = this.#findHolder();
    if (!holder || formatClaimId(holder.id) !== name) return "lost";
    return holder.isCovered ? "won" : "expired";
  }

  /** Status of the key. */
  getStatus(): KeyStatus {
    if (this.#known) return formatOutcome(this.#known);
    const holder = this.#findHolder();
    if (!holder) return { kind: "free" };
    if (!holder.isCovered) return { kind: "expired" };
    const { id, fingerprint } = holder;
    return { kind: "held", holder: id, fingerprint };
  }

  #findHolder(): CountedClaim | undefined {
    for (const [name, claim] of this.#claims) {
      if (!this.#released.has(name)) return claim;
    }
    return undefined;
  }
}

function formatOutcome(known: KnownOutcome): KeyStatus {
  const { id: holder, fingerprint } = known.claim;
  if (known.outcome === "unknown") {
    return { kind: "unknown", holder, fingerprint };
  }
  return { kind: "completed", holder, fingerprint, answer: known.answer };
}
