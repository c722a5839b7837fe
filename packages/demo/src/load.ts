/**
 * The demo's load: many callers for a few seconds, one entry killed meanwhile.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import * as uuid from "uuid";

/** Requests a second over all entries of a deployment. */
const REQUESTS_PER_SECOND = 60;
const LOAD_MS = 5_000;
/** When an entry is killed, counted from the start of the load. */
const KILL_AFTER_MS = 2_000;
const MAX_ATTEMPTS = 8;
const MS_PER_SECOND = 1_000;

/** What the load gave. */
export interface LoadResult {
  readonly results: readonly testbed.CallerResult[];
  readonly killed: testbed.RunningVm;
}

/**
 * Sends load to a deployment and kills one entry in the middle of it.
 *
 * @param deployment The running deployment.
 * @param requests Requests to send in turn.
 * @returns Every caller's result and the VM whose entry was killed.
 */
export async function runLoad(
  deployment: testbed.Deployment,
  requests: readonly testbed.PlannedRequest[],
): Promise<LoadResult> {
  const count = REQUESTS_PER_SECOND * LOAD_MS / MS_PER_SECOND;
  const killed = deployment.vms[1];
  if (!killed) throw new Error("Cannot kill an entry: there is only one");
  const kill = killLater(killed);
  const callers: Promise<testbed.CallerResult>[] = [];
  for (let turn = 0; turn < count; turn += 1) {
    callers.push(sendTurn(deployment, requests, turn));
    await sleep(MS_PER_SECOND / REQUESTS_PER_SECOND);
  }
  await kill;
  return { results: await Promise.all(callers), killed };
}

async function killLater(vm: testbed.RunningVm): Promise<void> {
  await sleep(KILL_AFTER_MS);
  await testbed.stopProgram(vm.entry, "SIGKILL");
}

function sendTurn(
  deployment: testbed.Deployment,
  requests: readonly testbed.PlannedRequest[],
  turn: number,
): Promise<testbed.CallerResult> {
  const request = requests[turn % requests.length];
  if (!request) throw new Error("Cannot send: the example has no requests");
  const urls = deployment.vms.map((vm) => vm.url);
  const first = turn % urls.length;
  return testbed.sendRequest(request, {
    urls: [...urls.slice(first), ...urls.slice(0, first)],
    key: uuid.v7(),
    maxAttempts: MAX_ATTEMPTS,
  });
}
