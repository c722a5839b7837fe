/**
 * Mechanisms that a proof can take out of the daemons.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

const MUTANTS_FILE = "packages/prove/mutants.json";

/** One mechanism, and the text whose replacement takes it out. */
export interface Mutant {
  readonly mechanism: string;
  readonly point: number;
  /** Part of the name of the scenario that shows the violation. */
  readonly scenario: string;
  /** What the daemons do without it. */
  readonly what: string;
  readonly file: string;
  /** Stands exactly once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** Reads all mutants. */
export function readMutants(): readonly Mutant[] {
  return JSON.parse(readFileSync(MUTANTS_FILE, "utf8"));
}

/**
 * Bundles the daemons without a mechanism.
 *
 * @param mechanism Its name.
 * @returns The folder of the bundles.
 * @throws {Error} When the text to replace no longer stands in the file.
 */
export function buildMutant(mechanism: string): string {
  const args = ["scripts/build.mjs", "--without", mechanism];
  const built = spawnSync(process.execPath, args, { encoding: "utf8" });
  if (built.status !== 0) {
    throw new Error(`Cannot build without "${mechanism}": ${built.stderr}`);
  }
  return `dist/without-${mechanism}`;
}
