/**
 * `npm run prove`: tries what must always hold and prints a line for each proof.
 *
 * `--without MECHANISM` takes one mechanism out of the daemons and shows the
 * violation that it prevents. `--only TEXT` runs scenarios whose name has the text.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { runProofs } from "./run_proofs.ts";

const { values } = parseArgs({
  options: { without: { type: "string" }, only: { type: "string" } },
});
process.exitCode = await runProofs(values);
