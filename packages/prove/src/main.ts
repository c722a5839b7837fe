/**
 * `npm run prove`: checks the system's guarantees, printing a line per proof.
 *
 * `--without MECHANISM` disables one mechanism and shows the violation that it
 * prevents. `--only TEXT` runs the proofs whose name contains the text.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { runProofs } from "./run_proofs.ts";

const { values } = parseArgs({
  options: { without: { type: "string" }, only: { type: "string" } },
});
process.exitCode = await runProofs(values);
