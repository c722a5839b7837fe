/**
 * Reads the merged timeline of a request from all reachable processes.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type * as testbed from "@sardinestep/testbed";
import * as timeline from "@sardinestep/timeline";

const TIMEOUT_MS = 1_000;

/**
 * Reads the events of one key from every process and merges them.
 *
 * @param deployment The running deployment, some of whose processes may be down.
 * @param key The request's key.
 * @returns Formatted events in order, and the names of unreachable processes.
 */
export async function readRequestTimeline(
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
