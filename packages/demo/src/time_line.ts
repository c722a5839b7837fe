/**
 * The merged time line of a request, from all processes that still answer.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type * as testbed from "@sardinestep/testbed";
import * as timeline from "@sardinestep/timeline";

const TIMEOUT_MS = 1_000;

/**
 * Asks every process for its events of one key and merges them.
 *
 * @param deployment The running deployment, some processes of which are dead.
 * @param key The request's key.
 * @returns Events in order, and the processes that did not answer.
 */
export async function readTimeLine(
  deployment: testbed.Deployment,
  key: string,
): Promise<{ lines: string[]; missing: string[] }> {
  const processes = deployment.vms.flatMap((vm) => [
    { name: `entry of ${vm.vmId}`, address: vm.entryRpc },
    { name: `control of ${vm.vmId}`, address: vm.controlRpc },
  ]);
  const limit = { timeoutMs: TIMEOUT_MS };
  const answers = await Promise.all(
    processes.map(async ({ name, address }) => ({
      name,
      answer: await rpc.callOnce(address, "timeline", { key }, limit),
    })),
  );
  const lists = answers.flatMap(({ answer }) =>
    answer.isOk() ? [answer.value] : []
  );
  const missing = answers.flatMap(({ name, answer }) =>
    answer.isErr() ? [name] : []
  );
  const lines = timeline.mergeEvents(lists).map((event) =>
    timeline.formatEvent(event)
  );
  return { lines, missing };
}
