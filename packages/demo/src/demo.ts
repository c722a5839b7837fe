/**
 * Runs one example from start to stop and audits what was promised.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import * as uuid from "uuid";
import type { Example } from "./example.ts";
import { runLoad } from "./load.ts";
import { formatAttainment, formatResult } from "./report.ts";
import { readTimeLine } from "./time_line.ts";

/** What the demo of one example found. */
export interface DemoResult {
  readonly lines: readonly string[];
  readonly violations: readonly testbed.Violation[];
}

/**
 * Runs one example: requests one by one, then load with an entry killed, then a
 * graceful stop of everything.
 *
 * @param bench Starts and ends the processes.
 * @param example The example.
 * @returns Lines to print and every broken promise.
 */
export async function runDemo(
  bench: testbed.Bench,
  example: Example,
): Promise<DemoResult> {
  const lines: string[] = [`== ${example.name}`];
  const startedAt = performance.now();
  const deployment = await testbed.Deployment.start(bench, example.plan);
  const readyMs = (performance.now() - startedAt).toFixed(0);
  const { vms, workers } = example.plan;
  lines.push(
    `${vms.length} VMs, ${workers.length} workers; ready after ${readyMs} ms`,
  );
  const single = await sendOneByOne(deployment, example);
  lines.push("", "requests, one by one:", ...single.map(formatResult));
  const load = await runLoad(deployment, example.requests);
  lines.push(
    "",
    `load; the entry of ${load.killed.vmId} was killed in the middle:`,
    ...formatAttainment(load.results),
  );
  lines.push(...await formatTimeLine(deployment, load.results));
  const violations = await deployment.audit([
    ...single,
    ...load.results,
  ]);
  const stops = await stopAll(deployment, load.killed);
  return { lines, violations: [...violations, ...stops] };
}

async function sendOneByOne(
  deployment: testbed.Deployment,
  example: Example,
): Promise<testbed.CallerResult[]> {
  const urls = deployment.vms.map((vm) => vm.url);
  const results: testbed.CallerResult[] = [];
  for (const request of example.requests) {
    const key = request.needsKey ? uuid.v7() : undefined;
    const options = { urls, key, maxAttempts: 3 };
    results.push(await testbed.sendRequest(request, options));
  }
  return results;
}

/** Shows a request that came back to another entry, if there was one. */
async function formatTimeLine(
  deployment: testbed.Deployment,
  results: readonly testbed.CallerResult[],
): Promise<string[]> {
  const shown =
    results.find((result) =>
      result.attempts.length > 1 && result.request.needsKey
    ) ?? results.find((result) => result.request.needsKey);
  if (!shown?.key) return [];
  const { lines, missing } = await readTimeLine(deployment, shown.key);
  const title =
    `time line of "${shown.request.name}" under key ${shown.key}, ` +
    `${shown.attempts.length} attempts:`;
  const dead = `no answer from: ${missing.join(", ") || "none"}`;
  return ["", title, ...lines.map((line) => `  ${line}`), `  ${dead}`];
}

/** A planned stop must end every process by itself, with exit code 0. */
async function stopAll(
  deployment: testbed.Deployment,
  killed: testbed.RunningVm,
): Promise<testbed.Violation[]> {
  const programs = deployment.vms.flatMap((vm) =>
    vm === killed ? [vm.control] : [vm.entry, vm.control]
  );
  const codes = await Promise.all(programs.map(async (program) => ({
    program,
    code: await testbed.stopProgram(program, "SIGTERM"),
  })));
  return codes.filter(({ code }) => code !== 0).map(({ program, code }) => ({
    promise: "a graceful stop",
    detail: `"${program.name}" ended with ${code}: ${program.output()}`,
  }));
}
