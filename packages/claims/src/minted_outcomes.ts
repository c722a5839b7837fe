/**
 * Outcomes of minted keys in the claim stream. Minted keys have no claims: only
 * the instance named in the key may run it.
 *
 * @module
 */
import type { InstanceId } from "@sardinestep/types";
import type { ClaimRecord, KeyId, KeyStatus } from "./record.ts";

type OutcomeRecord = Extract<ClaimRecord, { kind: "outcome" }>;

interface MintedOutcome {
  readonly record: OutcomeRecord;
  /** Log time of the record; a minted key's embedded time is no wall-clock time. */
  readonly time: number;
}

/** The instance that minted a record's key, and the record's log time. */
export interface RecordOrigin {
  readonly instance: InstanceId;
  readonly time: number;
}

/** The recorded outcomes of all minted keys. */
export class MintedOutcomes {
  /** By key text, then by customer. */
  readonly #outcomes = new Map<string, Map<string, MintedOutcome>>();

  /** Number of distinct keys. */
  get size(): number {
    return this.#outcomes.size;
  }

  /**
   * Applies an outcome from the instance that minted the key; ignores all other
   * records.
   *
   * @returns Whether the record took effect.
   */
  apply(record: ClaimRecord, { instance, time }: RecordOrigin): boolean {
    if (record.kind !== "outcome") return false;
    if (record.id.instance !== instance) return false;
    const { key, customer } = record.keyId;
    const outcomesByCustomer = this.#outcomes.get(key) ??
      new Map<string, MintedOutcome>();
    const previous = outcomesByCustomer.get(customer)?.record;
    if (previous?.outcome === "completed") return false;
    if (previous?.outcome === record.outcome) return false;
    outcomesByCustomer.set(customer, { record, time });
    this.#outcomes.set(key, outcomesByCustomer);
    return true;
  }

  /** Status of a minted key; `free` only means that no outcome is recorded. */
  getStatus(keyId: KeyId): KeyStatus {
    const found = this.#outcomes.get(keyId.key)?.get(keyId.customer);
    return found ? formatStatus(found.record) : { kind: "free" };
  }

  /** Finds a key under every customer with a recorded outcome for it. */
  findByKey(key: string): { keyId: KeyId; status: KeyStatus }[] {
    const found = this.#outcomes.get(key)?.values() ?? [];
    return [...found].map(({ record }) => ({
      keyId: record.keyId,
      status: formatStatus(record),
    }));
  }

  /** Deletes outcomes recorded before a log time. */
  prune(oldestTime: number): void {
    for (const [key, outcomesByCustomer] of this.#outcomes) {
      for (const [customer, { time }] of outcomesByCustomer) {
        if (time < oldestTime) outcomesByCustomer.delete(customer);
      }
      if (outcomesByCustomer.size === 0) this.#outcomes.delete(key);
    }
  }
}

/** Only claims carry a fingerprint, and minted keys have no claims. */
const NO_FINGERPRINT = "";

function formatStatus(record: OutcomeRecord): KeyStatus {
  const { id: holder, outcome, answer } = record;
  if (outcome === "unknown") {
    return { kind: "unknown", holder, fingerprint: NO_FINGERPRINT };
  }
  return { kind: "completed", holder, fingerprint: NO_FINGERPRINT, answer };
}
