/**
 * Entry point of the `sardinestep` program.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import { hostname, userInfo } from "node:os";
import * as uuid from "uuid";
import { EXIT } from "./exit_codes.ts";
import { runProgram } from "./program.ts";

/** Exits without an error when a pager or `head` has closed the pipe. */
process.stdout.on("error", () => process.exit());

function getAuthor(): string {
  try {
    return `${userInfo().username}@${hostname()}`;
  } catch {
    return `unnamed@${hostname()}`;
  }
}

try {
  const printout = await runProgram(process.argv.slice(2), {
    rpcClient: { call: rpc.callOnce },
    author: getAuthor(),
    createRecordId: () => uuid.v7(),
    printProgress: (line) => process.stderr.write(`${line}\n`),
  });
  process.stdout.write(printout.stdout);
  process.stderr.write(printout.stderr);
  process.exitCode = printout.exitCode;
} catch (error) {
  process.stderr.write(`Internal error: ${error}\n`);
  process.exitCode = EXIT.internal;
}
