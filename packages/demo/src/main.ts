/**
 * `npm run demo`: both deployments as separate processes on loopback.
 *
 * `--hold` starts only the first example on fixed addresses and keeps it running
 * until SIGINT, for trying the commands of the docs.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { runDemo } from "./demo.ts";
import { readExample } from "./example.ts";
import { hold } from "./hold.ts";

const EXAMPLES = ["hraunvidur", "allgaeu"];
/** The demo gives up beyond this; it usually needs half of it. */
const BOUND_MS = 44_000;

const bench = new testbed.Bench();
process.on("SIGINT", () => void bench.stopAll().then(() => process.exit(130)));

if (process.argv.includes("--hold")) {
  await hold(bench, readExample("hraunvidur"));
} else {
  process.exitCode = await runAll();
}

async function runAll(): Promise<number> {
  const bound = setTimeout(() => {
    console.log(`FAILED: the demo took more than ${BOUND_MS} ms`);
    void bench.stopAll().then(() => process.exit(1));
  }, BOUND_MS);
  try {
    const results = await Promise.all(
      EXAMPLES.map((name) => runDemo(bench, readExample(name))),
    );
    for (const { lines } of results) console.log(`${lines.join("\n")}\n`);
    return printVerdict(results.flatMap(({ violations }) => violations));
  } catch (error) {
    console.log("FAILED:", error);
    for (const program of bench.running) console.log(program.output());
    return 1;
  } finally {
    clearTimeout(bound);
    await bench.stopAll();
  }
}

function printVerdict(violations: readonly testbed.Violation[]): number {
  for (const { promise, detail } of violations) {
    console.log(`BROKEN PROMISE: ${promise}: ${detail}`);
  }
  const isKept = violations.length === 0;
  console.log(isKept ? "every promise was kept" : "promises were broken");
  return isKept ? 0 : 1;
}
