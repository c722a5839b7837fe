/**
 * Runs one example deployment from start to stop and audits its guarantees.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import * as uuid from "uuid";
import type { Example } from "./example.ts";
import { runLoad } from "./load.ts";
import { formatAttainment, formatResult } from "./report.ts";
import { readRequestTimeline } from "./request_timeline.ts";

/** Printed lines and violated guarantees of one example. */
export interface DemoResult {
  readonly lines: readonly string[];
  readonly violations: readonly testbed.Violation[];
}

/**
 * Runs one example: sequential requests, then load during which an entry is
 * killed, then a graceful stop of all processes.
 *
 * @param launcher Starts and stops the processes.
 * @param example The example to run.
 * @returns Lines to print and every violated guarantee.
 */
export async function runDemo(
  launcher: testbed.ProcessLauncher,
  example: Example,
): Promise<DemoResult> {
  const lines: string[] = [`== ${example.name}`];
  const startedAt = performance.now();
  const deployment = await testbed.Deployment.start(launcher, example.plan);
  const readyMs = (performance.now() - startedAt).toFixed(0);
  const { vms, workers } = example.plan;
  lines.push(
    `${vms.length} VMs, ${workers.length} workers; ready after ${readyMs} ms`,
  );
  const sequential = await sendSequentially(deployment, example);
  lines.push(
    "",
    "requests, sent one after another:",
    ...sequential.map(formatResult),
  );
  const load = await runLoad(deployment, example.requests);
  lines.push(
    "",
    `load; the entry of ${load.killed.vmId} was killed meanwhile:`,
    ...formatAttainment(load.results),
  );
  lines.push(...await formatTimeline(deployment, load.results));
  const violations = await deployment.audit([
    ...sequential,
    ...load.results,
  ]);
  const stopViolations = await stopAll(deployment, load.killed);
  return { lines, violations: [...violations, ...stopViolations] };
}

async function sendSequentially(
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

/** Formats the events of a request, preferably one that was retried. */
async function formatTimeline(
  deployment: testbed.Deployment,
  results: readonly testbed.CallerResult[],
): Promise<string[]> {
  const shown =
    results.find((result) =>
      result.attempts.length > 1 && result.request.needsKey
    ) ?? results.find((result) => result.request.needsKey);
  if (!shown?.key) return [];
  const { lines, missing } = await readRequestTimeline(deployment, shown.key);
  const title = `timeline of "${shown.request.name}" under key ${shown.key}, ` +
    `${shown.attempts.length} attempts:`;
  const unreachable = `no answer from: ${missing.join(", ") || "none"}`;
  return ["", title, ...lines.map((line) => `  ${line}`), `  ${unreachable}`];
}

/** Stops all processes; each must exit by itself with code 0. */
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
    guarantee: "a graceful stop",
    detail: `"${program.name}" exited with ${code}: ${program.output()}`,
  }));
}
