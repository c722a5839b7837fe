/**
 * Sends load to a deployment for a few seconds and kills one entry meanwhile.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import * as uuid from "uuid";

/** Request rate over all entries of a deployment. */
const REQUESTS_PER_SECOND = 60;
const LOAD_MS = 5_000;
/** Time from the start of the load until an entry is killed. */
const KILL_AFTER_MS = 2_000;
const MAX_ATTEMPTS = 8;
const MS_PER_SECOND = 1_000;

/** Results of the load, and the VM whose entry was killed. */
export interface LoadResult {
  readonly results: readonly testbed.CallerResult[];
  readonly killed: testbed.RunningVm;
}

/**
 * Sends load to a deployment and kills one entry meanwhile.
 *
 * @param deployment The running deployment.
 * @param requests Requests to send, in rotation.
 * @returns Every caller's result and the VM whose entry was killed.
 */
export async function runLoad(
  deployment: testbed.Deployment,
  requests: readonly testbed.PlannedRequest[],
): Promise<LoadResult> {
  const count = REQUESTS_PER_SECOND * LOAD_MS / MS_PER_SECOND;
  const killed = deployment.vms[1];
  if (!killed) throw new Error("Cannot kill an entry: expected two VMs");
  const killing = killAfterDelay(killed);
  const callers: Promise<testbed.CallerResult>[] = [];
  for (let index = 0; index < count; index += 1) {
    callers.push(sendNth(deployment, requests, index));
    await sleep(MS_PER_SECOND / REQUESTS_PER_SECOND);
  }
  await killing;
  return { results: await Promise.all(callers), killed };
}

async function killAfterDelay(vm: testbed.RunningVm): Promise<void> {
  await sleep(KILL_AFTER_MS);
  await testbed.stopProgram(vm.entry, "SIGKILL");
}

function sendNth(
  deployment: testbed.Deployment,
  requests: readonly testbed.PlannedRequest[],
  index: number,
): Promise<testbed.CallerResult> {
  const request = requests[index % requests.length];
  if (!request) throw new Error("Cannot send: the example has no requests");
  const urls = deployment.vms.map((vm) => vm.url);
  const first = index % urls.length;
  return testbed.sendRequest(request, {
    urls: [...urls.slice(first), ...urls.slice(0, first)],
    key: uuid.v7(),
    maxAttempts: MAX_ATTEMPTS,
  });
}
