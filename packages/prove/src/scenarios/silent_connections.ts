/**
 * Open connections that permanently deliver nothing while new ones work: between
 * entry and control, and between control and log.
 *
 * Connections between controls and between entries use `rpc.PeerConnections`, whose
 * test uses the same relay; connections to engines are covered by guarantee 4. A
 * claim of a paused holder never expires, since claims have no lease; the proofs of
 * guarantee 1 cover what a holder does when it resumes.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { SilentRelay } from "@sardinestep/testing/silent_relay";
import { setTimeout as sleep } from "node:timers/promises";
import { countOutcomes, expectCompleted } from "../result_checks.ts";
import type { Scenario } from "../scenario.ts";
import {
  buildRequest,
  buildSmallPlan,
  createKey,
  rotateUrls,
  type SmallPipeline,
  type SmallPlanOptions,
} from "../small_plan.ts";

const CROSS_CUTTING_CHECK = 13;
/** Bound of "within seconds"; silent connections are detected after two. */
const RECOVERY_BOUND_MS = 6_000;
const PROBE_DEADLINE_MS = 1_000;
const REQUEST_INTERVAL_MS = 50;
const LOAD_LEAD_MS = 500;
const LOAD_TAIL_MS = 1_000;
/** A deployment assigns three ports per VM, followed by those of the log. */
const PORTS_PER_VM = 3;
const CONTROL_RPC_PORT_OFFSET = 2;
const PORT_COUNT = 32;
const PIPELINES: readonly SmallPipeline[] = ["issue", "lookup", "draft"];

/** Proofs with silent connections. */
export const SILENT_CONNECTIONS: readonly Scenario[] = [
  {
    point: CROSS_CUTTING_CHECK,
    name: "all connections of all controls to the log go silent",
    description:
      "Tickets are refused for an hour: the controls wait for the log on " +
      "connections that are open but deliver nothing; a new one would work.",
    run: (launcher) =>
      runSilentConnection(launcher, {
        vms: 3,
        findPort: (firstPort) => firstPort + 3 * PORTS_PER_VM,
        buildOptions: (address) => ({
          controlSettings: { logUrl: `http://${address}` },
        }),
      }),
  },
  {
    point: CROSS_CUTTING_CHECK,
    name: "the connection of an entry to its control goes silent",
    description:
      "One entry refuses every ticket and receives no updates: its only " +
      "connection to its healthy control is open but delivers nothing.",
    run: (launcher) =>
      runSilentConnection(launcher, {
        vms: 1,
        findPort: (firstPort) => firstPort + CONTROL_RPC_PORT_OFFSET,
        buildOptions: (address) => ({ entrySettings: { controls: [address] } }),
      }),
  },
];

interface SilentConnectionPlan {
  readonly vms: number;
  /** Finds the relay's target port, given the deployment's first port. */
  readonly findPort: (firstPort: number) => number;
  /** Builds settings that route the connection through the relay. */
  readonly buildOptions: (address: string) => SmallPlanOptions;
}

async function runSilentConnection(
  launcher: testbed.ProcessLauncher,
  plan: SilentConnectionPlan,
) {
  const firstPort = await findFreePortRange();
  const relay = await SilentRelay.open({ port: plan.findPort(firstPort) });
  try {
    const options = { vms: plan.vms, ...plan.buildOptions(relay.address) };
    const deploymentPlan = buildSmallPlan(options);
    const started = { firstPort };
    const deployment = await testbed.Deployment.start(
      launcher,
      deploymentPlan,
      started,
    );
    return await measureRecovery(deployment, relay);
  } finally {
    await relay.close();
  }
}

async function measureRecovery(
  deployment: testbed.Deployment,
  relay: SilentRelay,
) {
  const load = startLoad(deployment);
  await sleep(LOAD_LEAD_MS);
  relay.silenceConnections();
  const silencedAt = performance.now();
  const violations = await waitForTicket(deployment);
  const recoveryMs = performance.now() - silencedAt;
  await sleep(LOAD_TAIL_MS);
  const results = await load.stop();
  const unkeyed = results.filter(({ request }) => !request.needsKey);
  violations.push(
    ...await deployment.audit(results),
    ...expectCompleted(unkeyed, "lookups and drafts are unaffected"),
  );
  if (relay.silencedCount === 0) {
    violations.push({
      guarantee: "connections are silenced",
      detail: "none was",
    });
  }
  const summary =
    `${relay.silencedCount} connections silenced, tickets issued again after ` +
    `${(recoveryMs / 1_000).toFixed(1)} s; ${countOutcomes(results)}`;
  return { cases: results.length, violations, summary };
}

/** Waits until every entry issues a ticket for a UUIDv7 key. */
async function waitForTicket(
  deployment: testbed.Deployment,
): Promise<testbed.Violation[]> {
  try {
    await Promise.all(deployment.vms.map((vm) =>
      testbed.waitFor(async () => {
        const request = buildRequest("issue", 0, PROBE_DEADLINE_MS);
        const sent = { urls: [vm.url], key: createKey() };
        const result = await testbed.sendRequest(request, sent);
        return result.answer?.outcome === "completed";
      }, {
        description: `a ticket issued by "${vm.vmId}"`,
        timeoutMs: RECOVERY_BOUND_MS,
      })
    ));
    return [];
  } catch (error) {
    return [{
      guarantee: "requests complete again within seconds",
      detail: String(error),
    }];
  }
}

function startLoad(deployment: testbed.Deployment) {
  const sends: Promise<testbed.CallerResult>[] = [];
  let isOpen = true;
  const sendAll = async () => {
    for (let index = 0; isOpen; index += 1) {
      const pipeline = PIPELINES[index % PIPELINES.length] ?? "lookup";
      sends.push(testbed.sendRequest(buildRequest(pipeline, index), {
        urls: rotateUrls(deployment, index),
        key: createKey(),
        maxAttempts: 6,
      }));
      await sleep(REQUEST_INTERVAL_MS);
    }
  };
  const sending = sendAll();
  return {
    stop: async () => {
      isOpen = false;
      await sending;
      return await Promise.all(sends);
    },
  };
}

/** Finds consecutive ports: a relay's target must be known before the start. */
async function findFreePortRange(): Promise<number> {
  for (;;) {
    const ports = await testbed.findFreePorts(PORT_COUNT);
    const first = Math.min(...ports);
    if (Math.max(...ports) - first === PORT_COUNT - 1) return first;
  }
}
