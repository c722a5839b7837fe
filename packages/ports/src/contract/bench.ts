/**
 * What the contracts share.
 *
 * @module
 */
import { expect } from "chai";
import type { Result } from "ts-results-es";
import { mayHaveActed, type PortError, type PortErrorKind } from "../error.ts";

/** Long enough for any answer that comes at all. */
export const PATIENT_MS = 10_000;
/** For calls that get no answer: the case waits that long, no verdict does. */
export const IMPATIENT_MS = 150;

/** A port, its service and the service's faults; one for each case. */
export interface Bench<Port, Fault> {
  readonly port: Port;
  /** Switches a fault on in the service. */
  setFault(fault: Fault): Promise<void>;
  close(): Promise<void>;
}

/** Opens a fresh bench. */
export type OpenBench<B> = () => Promise<B>;

/** One case of a contract. */
export interface ContractCase<B> {
  readonly name: string;
  readonly run: (bench: B) => Promise<void>;
}

/** Registers cases with mocha, each with its own bench. */
export function addCases<B extends { close(): Promise<void> }>(
  cases: readonly ContractCase<B>[],
  openBench: OpenBench<B>,
): void {
  for (const { name, run } of cases) {
    it(name, async () => {
      const bench = await openBench();
      try {
        await run(bench);
      } finally {
        await bench.close();
      }
    });
  }
}

/** Fails unless the result is an error of that kind. */
export function expectError(
  result: Result<unknown, PortError>,
  kind: PortErrorKind,
): PortError {
  if (result.isOk()) throw new Error(`Expected "${kind}", got an answer`);
  expect(result.error.kind, result.error.message).to.equal(kind);
  return result.error;
}

/** Fails if an error claims "nothing ran" though something did. */
export function expectTruth(error: PortError, runs: number): void {
  if (runs > 0) expect(mayHaveActed(error), error.kind).to.equal(true);
}
