/**
 * Helpers shared by the contract tests.
 *
 * @module
 */
import { expect } from "chai";
import type { Result } from "ts-results-es";
import { mayHaveActed, type PortError, type PortErrorKind } from "../error.ts";

/** Long enough for every answer that arrives at all. */
export const LONG_TIMEOUT_MS = 10_000;
/** For calls without an answer: only the duration of the case depends on it. */
export const SHORT_TIMEOUT_MS = 150;

/** A port and its service with injectable faults, opened for each case. */
export interface ContractFixture<Port, Fault> {
  readonly port: Port;
  /** Injects a fault into the service. */
  setFault(fault: Fault): Promise<void>;
  close(): Promise<void>;
}

/** Opens a new fixture. */
export type OpenFixture<F> = () => Promise<F>;

/** One case of a contract. */
export interface ContractCase<F> {
  readonly name: string;
  readonly run: (fixture: F) => Promise<void>;
}

/** Registers cases with mocha, each with its own fixture. */
export function addCases<F extends { close(): Promise<void> }>(
  cases: readonly ContractCase<F>[],
  openFixture: OpenFixture<F>,
): void {
  for (const { name, run } of cases) {
    it(name, async () => {
      const fixture = await openFixture();
      try {
        await run(fixture);
      } finally {
        await fixture.close();
      }
    });
  }
}

/** Fails unless the result is an error of the given kind. */
export function expectError(
  result: Result<unknown, PortError>,
  kind: PortErrorKind,
): PortError {
  if (result.isOk()) throw new Error(`Expected error "${kind}", got an answer`);
  expect(result.error.kind, result.error.message).to.equal(kind);
  return result.error;
}

/** Fails if an error states that nothing ran although something did. */
export function expectErrorMatchesRuns(error: PortError, runs: number): void {
  if (runs > 0) expect(mayHaveActed(error), error.kind).to.equal(true);
}
