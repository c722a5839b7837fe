/**
 * Outcomes of minted keys as the log tells them. Nobody claims a minted key:
 * the instance that its text names is the only one that may run it.
 *
 * @module
 */
import type { InstanceId } from "@sardinestep/types";
import type { ClaimRecord, KeyId, KeyStatus } from "./record.ts";

type OutcomeRecord = Extract<ClaimRecord, { kind: "outcome" }>;

interface MintedOutcome {
  readonly record: OutcomeRecord;
  /** The log's time of the record; a minted key's own time means nothing here. */
  readonly time: number;
}

/** Who minted the key of a record, and when the log placed the record. */
export interface MintedOrigin {
  readonly instance: InstanceId;
  readonly time: number;
}

/** Folds outcomes of minted keys. */
export class MintedOutcomes {
  /** By key text, then by customer. */
  readonly #keys = new Map<string, Map<string, MintedOutcome>>();

  /** How many key texts are held. */
  get size(): number {
    return this.#keys.size;
  }

  /**
   * Takes in an outcome from the key's own minter; all else changes nothing.
   *
   * @returns Whether the record counts.
   */
  apply(record: ClaimRecord, { instance, time }: MintedOrigin): boolean {
    if (record.kind !== "outcome") return false;
    if (record.id.instance !== instance) return false;
    const { key, customer } = record.keyId;
    const customers = this.#keys.get(key) ?? new Map<string, MintedOutcome>();
    const known = customers.get(customer)?.record;
    if (known?.outcome === "completed") return false;
    if (known?.outcome === record.outcome) return false;
    customers.set(customer, { record, time });
    this.#keys.set(key, customers);
    return true;
  }

  /** Status of a minted key; `free` says only that the log knows no outcome. */
  getStatus(keyId: KeyId): KeyStatus {
    const known = this.#keys.get(keyId.key)?.get(keyId.customer);
    return known ? formatStatus(known.record) : { kind: "free" };
  }

  /** Finds a key under every customer that has an outcome for it. */
  findByKey(key: string): { keyId: KeyId; status: KeyStatus }[] {
    const known = this.#keys.get(key)?.values() ?? [];
    return [...known].map(({ record }) => ({
      keyId: record.keyId,
      status: formatStatus(record),
    }));
  }

  /** Forgets outcomes recorded before a log time. */
  prune(oldest: number): void {
    for (const [key, customers] of this.#keys) {
      for (const [customer, { time }] of customers) {
        if (time < oldest) customers.delete(customer);
      }
      if (customers.size === 0) this.#keys.delete(key);
    }
  }
}

/** The log holds no claim of a minted key, hence no fingerprint. */
const NO_FINGERPRINT = "";

function formatStatus(record: OutcomeRecord): KeyStatus {
  const { id: holder, outcome, answer } = record;
  if (outcome === "unknown") {
    return { kind: "unknown", holder, fingerprint: NO_FINGERPRINT };
  }
  return { kind: "completed", holder, fingerprint: NO_FINGERPRINT, answer };
}
