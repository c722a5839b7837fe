/**
 * Guarantees 5, 6 and 7: cold endpoints, a failure domain taken out of service,
 * an endpoint that leaves.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import { countOutcomes, expectCompleted } from "../result_checks.ts";
import type { Scenario } from "../scenario.ts";
import {
  buildRequest,
  buildSmallPlan,
  CONFIGURATION,
  rotateUrls,
  ZONES,
} from "../small_plan.ts";

/** The brief's "a few seconds" for a change to take effect. */
const TAKE_EFFECT_BOUND_MS = 3_000;
const OBSERVATION_MS = 1_500;
const REQUESTS_PER_SECOND = 80;
const MS_PER_SECOND = 1_000;

/** Proofs of guarantees 5, 6 and 7. */
export const ENDPOINTS: readonly Scenario[] = [
  {
    point: 5,
    name: "all drafters start cold, restart under load, a domain returns",
    description:
      "Drafts get slow and fail after the drafters were restarted: each " +
      "entry alone sends a cold engine all the calls that it can handle.",
    run: runColdEndpoints,
  },
  {
    point: 6,
    name: "failure domain out while the log is slow, with a fresh entry",
    description:
      "Operators take a domain out of service for power maintenance. Seconds " +
      "later a worker there still gets calls from an entry that missed the change.",
    run: runZoneOut,
  },
  {
    point: 7,
    name: "endpoint leaving while the VM list lags",
    description:
      "A worker that is being stopped refuses calls that entries still send it, " +
      "because the platform's VM list reports it as live for some seconds.",
    run: runLeaving,
  },
];

async function runColdEndpoints(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({
    vms: 6,
    workers: { callsToWarm: 30, coldConcurrency: 2, serviceMs: 15 },
  });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const load = startLoad(deployment, "draft", 22);
  await sleep(12_000);
  for (const endpointId of ["drafters-1", "encoders-1", "drafters-2"]) {
    await deployment.setWorkerFaults(endpointId, { restart: true });
    await sleep(500);
  }
  await sleep(4_000);
  await testbed.stopProgram(deployment.vms[0]!.entry, "SIGKILL");
  const results = await load;
  const workers = await deployment.readWorkerCounters();
  const violations = await deployment.audit(results);
  const peaks = workers.map((worker) => worker.maxConcurrentWhileCold);
  const summary =
    `${countOutcomes(results)}; peak concurrency on a cold worker ` +
    `${Math.max(...peaks)} of 2, calls in total ${
      workers.reduce((sum, worker) => sum + worker.calls, 0)
    }`;
  return { cases: results.length, violations, summary };
}

async function runZoneOut(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({ vms: 4 });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const load = startLoad(deployment, "draft", 10);
  await sleep(1_500);
  const zoneOut = ZONES[1];
  const configuration = { ...CONFIGURATION, zonesOut: [zoneOut] };
  const verdict = await deployment.publish(configuration, 1);
  await deployment.setLogFaults({ slowMs: 1_500 });
  const last = deployment.vms[3]!;
  await testbed.stopProgram(last.entry, "SIGKILL");
  deployment.restartEntry(last);
  await sleep(TAKE_EFFECT_BOUND_MS);
  const before = await countCalls(
    deployment,
    (worker) => worker.zone === zoneOut,
  );
  await sleep(OBSERVATION_MS);
  const after = await countCalls(
    deployment,
    (worker) => worker.zone === zoneOut,
  );
  const results = await load;
  const violations = [
    ...expectUnchanged("a domain out of service", before, after),
    ...expectCompleted(results, "requests complete without the domain"),
  ];
  if (verdict.kind !== "accepted") {
    violations.push({
      guarantee: "the configuration is accepted",
      detail: JSON.stringify(verdict),
    });
  }
  const summary = `${countOutcomes(results)}; new calls in the domain after ` +
    `${TAKE_EFFECT_BOUND_MS} ms: ${after - before}`;
  return { cases: results.length, violations, summary };
}

async function runLeaving(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({ vms: 3, vmListLagMs: 20_000 });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const load = startLoad(deployment, "draft", 9);
  await sleep(1_500);
  const address = deployment.workerAddresses.get("drafters-2");
  await deployment.setWorkerFaults("drafters-2", { leaving: true });
  await sleep(TAKE_EFFECT_BOUND_MS);
  const isLeavingWorker = (worker: testbed.WorkerCounters) =>
    worker.address === address;
  const before = await countCalls(deployment, isLeavingWorker);
  await sleep(OBSERVATION_MS);
  const after = await countCalls(deployment, isLeavingWorker);
  const results = await load;
  const violations = [
    ...expectUnchanged("a leaving endpoint", before, after),
    ...expectCompleted(results, "requests complete without the endpoint"),
  ];
  const summary =
    `${countOutcomes(results)}; new calls at the endpoint after ` +
    `${TAKE_EFFECT_BOUND_MS} ms: ${after - before}`;
  return { cases: results.length, violations, summary };
}

/** Sends requests at a constant rate through all entries for `seconds`. */
async function startLoad(
  deployment: testbed.Deployment,
  pipeline: "draft" | "lookup",
  seconds: number,
): Promise<testbed.CallerResult[]> {
  const count = seconds * REQUESTS_PER_SECOND;
  const sends: Promise<testbed.CallerResult>[] = [];
  for (let index = 0; index < count; index += 1) {
    sends.push(testbed.sendRequest(buildRequest(pipeline, index), {
      urls: rotateUrls(deployment, index),
      maxAttempts: 6,
    }));
    await sleep(MS_PER_SECOND / REQUESTS_PER_SECOND);
  }
  return await Promise.all(sends);
}

async function countCalls(
  deployment: testbed.Deployment,
  isCounted: (worker: testbed.WorkerCounters) => boolean,
): Promise<number> {
  const workers = await deployment.readWorkerCounters();
  return workers.filter(isCounted).reduce(
    (sum, worker) => sum + worker.calls,
    0,
  );
}

function expectUnchanged(
  what: string,
  before: number,
  after: number,
): testbed.Violation[] {
  if (before === after) return [];
  const detail = `${after - before} new calls after ${TAKE_EFFECT_BOUND_MS} ms`;
  return [{ guarantee: `no new calls to ${what}`, detail }];
}
