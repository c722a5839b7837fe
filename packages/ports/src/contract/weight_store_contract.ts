/**
 * Contract of the weight store port.
 *
 * @module
 */
import { expect } from "chai";
import type { PortErrorKind } from "../error.ts";
import type { WeightInfo, WeightStorePort } from "../weight_store.ts";
import {
  addCases,
  type ContractCase,
  type ContractFixture,
  expectError,
  LONG_TIMEOUT_MS,
  type OpenFixture,
  SHORT_TIMEOUT_MS,
} from "./fixture.ts";

/** Faults that can be injected into the weight store. */
export type WeightStoreFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  | { readonly kind: "hang" }
  | { readonly kind: "reset" }
  /** Every request exceeds the rate limit. */
  | { readonly kind: "rate_limit" };

/** A weight store port and its service. */
export type WeightStoreFixture = ContractFixture<
  WeightStorePort,
  WeightStoreFault
>;

/** The model that the store must know initially. */
export const CONTRACT_MODEL: WeightInfo = {
  model: "drafts/7b",
  version: "3",
  bytes: 14_000_000_000,
};

const FAULT_ROWS: readonly (readonly [
  WeightStoreFault["kind"],
  PortErrorKind,
  number,
])[] = [
  ["down", "not_sent", LONG_TIMEOUT_MS],
  ["hang", "timeout", SHORT_TIMEOUT_MS],
  ["reset", "answer_lost", LONG_TIMEOUT_MS],
  ["rate_limit", "rate_limited", LONG_TIMEOUT_MS],
];

const CASES: readonly ContractCase<WeightStoreFixture>[] = [
  {
    name: "describes a model",
    run: async ({ port }) => {
      const info = await port.describe(CONTRACT_MODEL.model, LONG_TIMEOUT_MS);
      expect(info.unwrap()).to.deep.equal(CONTRACT_MODEL);
    },
  },
  {
    name: "refuses an unknown model",
    run: async ({ port }) => {
      expectError(await port.describe("other", LONG_TIMEOUT_MS), "refused");
    },
  },
  {
    name: "reports its load",
    run: async ({ port }) => {
      const load = (await port.readLoad(LONG_TIMEOUT_MS)).unwrap();
      expect(load.bytesPerSecond).to.be.greaterThan(0);
      expect(load.loadsRunning).to.equal(0);
    },
  },
  ...FAULT_ROWS.map(([kind, expected, timeoutMs]) => ({
    name: `read under "${kind}" is "${expected}"`,
    run: async ({ port, setFault }: WeightStoreFixture) => {
      await setFault({ kind });
      expectError(await port.readLoad(timeoutMs), expected);
    },
  })),
];

/**
 * Registers the cases of the contract with mocha.
 *
 * @param name The adapter's name.
 * @param openFixture Opens the adapter with a store that knows
 *   {@link CONTRACT_MODEL}.
 * @example
 * ```ts
 * addWeightStoreContract("store_http", openHttpStoreFixture);
 * ```
 */
export function addWeightStoreContract(
  name: string,
  openFixture: OpenFixture<WeightStoreFixture>,
): void {
  describe(`weight store contract: ${name}`, () =>
    addCases(CASES, openFixture));
}
