/**
 * Mutants: builds of the daemons with one protection mechanism disabled.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

const MUTANTS_FILE = "packages/prove/mutants.json";

/** A mechanism, and the source replacement that disables it. */
export interface Mutant {
  readonly mechanism: string;
  readonly point: number;
  /** Substring of the name of the scenario that detects the violation. */
  readonly scenario: string;
  /** Behaviour of the daemons without the mechanism. */
  readonly what: string;
  readonly file: string;
  /** Source text to replace; must occur exactly once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** Reads the mutants from `mutants.json`. */
export function readMutants(): readonly Mutant[] {
  return JSON.parse(readFileSync(MUTANTS_FILE, "utf8"));
}

/**
 * Bundles the daemons with a mechanism disabled.
 *
 * @param mechanism Name of the mechanism.
 * @returns Folder of the bundles.
 * @throws {Error} When the build fails, such as when the text to replace is not
 *   found in the source file.
 */
export function buildMutant(mechanism: string): string {
  const args = ["scripts/build.mjs", "--without", mechanism];
  const built = spawnSync(process.execPath, args, { encoding: "utf8" });
  if (built.status !== 0) {
    throw new Error(`Cannot build without "${mechanism}": ${built.stderr}`);
  }
  return `dist/without-${mechanism}`;
}
