/**
 * `npm run demo`: runs both example deployments as processes on loopback.
 *
 * `--hold` starts only the first example, on fixed addresses, and keeps it
 * running until SIGINT so that the commands in the docs can be tried.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { runDemo } from "./demo.ts";
import { readExample } from "./example.ts";
import { startHeldExample } from "./held_example.ts";

const EXAMPLES = ["hraunvidur", "allgaeu"];
/** Limit for the whole demo, which usually takes half of it. */
const DEMO_TIMEOUT_MS = 44_000;

const launcher = new testbed.ProcessLauncher();
process.on(
  "SIGINT",
  () => void launcher.stopAll().then(() => process.exit(130)),
);

if (process.argv.includes("--hold")) {
  await startHeldExample(launcher, readExample("hraunvidur"));
} else {
  process.exitCode = await runAll();
}

async function runAll(): Promise<number> {
  const timeout = setTimeout(() => {
    console.log(`FAILED: the demo took more than ${DEMO_TIMEOUT_MS} ms`);
    void launcher.stopAll().then(() => process.exit(1));
  }, DEMO_TIMEOUT_MS);
  try {
    const results = await Promise.all(
      EXAMPLES.map((name) => runDemo(launcher, readExample(name))),
    );
    for (const { lines } of results) console.log(`${lines.join("\n")}\n`);
    return printVerdict(results.flatMap(({ violations }) => violations));
  } catch (error) {
    console.log("FAILED:", error);
    for (const program of launcher.running) console.log(program.output());
    return 1;
  } finally {
    clearTimeout(timeout);
    await launcher.stopAll();
  }
}

function printVerdict(violations: readonly testbed.Violation[]): number {
  for (const { guarantee, detail } of violations) {
    console.log(`VIOLATED GUARANTEE: ${guarantee}: ${detail}`);
  }
  const isPassed = violations.length === 0;
  console.log(isPassed ? "all guarantees held" : "guarantees were violated");
  return isPassed ? 0 : 1;
}
