/**
 * Snapshot assertions for mocha, based on jest-snapshot.
 *
 * @module
 */
import { SnapshotState } from "jest-snapshot";
import { basename, dirname, join } from "node:path";

const SNAPSHOT_FORMAT = { escapeString: false, printBasicPrototype: false };
const states = new Map<string, SnapshotState>();

function getState(testFile: string): SnapshotState {
  const existing = states.get(testFile);
  if (existing) return existing;
  const snapshotFile = join(
    dirname(testFile),
    "__snapshots__",
    `${basename(testFile)}.snap`,
  );
  const state = new SnapshotState(snapshotFile, {
    rootDir: process.cwd(),
    snapshotFormat: SNAPSHOT_FORMAT,
    updateSnapshot: getUpdateMode(),
  });
  states.set(testFile, state);
  return state;
}

/** A missing snapshot is written locally and fails the test in CI. */
function getUpdateMode(): "all" | "new" | "none" {
  if (process.env.UPDATE_SNAPSHOTS === "1") return "all";
  return process.env.CI ? "none" : "new";
}

/**
 * Compares a value with the snapshot kept beside the test file.
 *
 * `UPDATE_SNAPSHOTS=1` rewrites snapshots; review the diff before committing.
 *
 * @param context Mocha's `this` inside the test.
 * @param value Plain data that is the same in every run.
 * @throws {Error} When the value differs or, in CI, has no snapshot.
 * @example
 * ```ts
 * it("plans the merge", function () {
 *   expectSnapshot(this, planMerge(base, overlay));
 * });
 * ```
 */
export function expectSnapshot(context: Mocha.Context, value: unknown): void {
  const test = context.test;
  if (!test?.file) throw new Error("Cannot find the running test's file");
  const state = getState(test.file);
  const result = state.match(
    {
      testName: test.fullTitle(),
      received: value,
      isInline: false,
    } as Parameters<SnapshotState["match"]>[0],
  );
  state.save();
  if (result.pass) return;
  throw new Error(
    `Snapshot differs for "${test.fullTitle()}"\nexpected: ${result.expected}\nactual:   ${result.actual}`,
  );
}
