/**
 * Guarantee 9: an accepted configuration takes effect at every site within
 * seconds and never reverts.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import * as testbed from "@sardinestep/testbed";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Scenario } from "../scenario.ts";
import { buildSmallPlan, CONFIGURATION, ZONES } from "../small_plan.ts";
import { VersionMonitor } from "../version_monitor.ts";

const ROUNDS = 8;
const TAKE_EFFECT_BOUND_MS = 4_000;
const STATUS_TIMEOUT_MS = 1_000;

/** Proofs of guarantee 9. */
export const CONFIGURATION_PROOFS: readonly Scenario[] = [
  {
    point: 9,
    name: "operators race at three controls, answers of the log lost",
    description:
      "Operators publish configurations at the same time. Two are told " +
      "'accepted', and one of their changes is lost.",
    run: runRaces,
  },
  {
    point: 9,
    name: "VM started while the log is down, frozen VM wakes up",
    description:
      "A VM that was replaced during an outage of the log serves an old " +
      "configuration or none; one that was frozen restores an old one.",
    run: runOutage,
  },
];

async function runRaces(launcher: testbed.ProcessLauncher) {
  const deployment = await testbed.Deployment.start(launcher, buildSmallPlan());
  const violations: testbed.Violation[] = [];
  const monitor = new VersionMonitor(deployment);
  let version = 1;
  for (let round = 0; round < ROUNDS; round += 1) {
    if (round % 2 === 1) await deployment.setLogFaults({ loseAnswers: 2 });
    const verdicts = await Promise.all(
      deployment.vms.map((vm, index) =>
        publishAt(vm, version, [ZONES[index % ZONES.length] ?? ""])
      ),
    );
    const accepted = verdicts.filter((verdict) => verdict.kind === "accepted");
    if (accepted.length !== 1) {
      const detail = `round ${round}: ${JSON.stringify(verdicts)}`;
      violations.push({
        guarantee: "exactly one of the racing operators wins",
        detail,
      });
    }
    version += 1;
    violations.push(...await expectVersion(deployment, version));
  }
  violations.push(...monitor.close());
  const cases = ROUNDS * deployment.vms.length;
  return { cases, violations, summary: `version ${version} at every entry` };
}

async function runOutage(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({ vms: 4 });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const monitor = new VersionMonitor(deployment);
  const [first, second, third] = deployment.vms;
  if (!first || !second || !third) throw new Error("Cannot find the VMs");
  third.control.process.kill("SIGSTOP");
  third.entry.process.kill("SIGSTOP");
  await publishAt(first, 1, [ZONES[0]]);
  await publishAt(first, 2, [ZONES[1]]);
  await deployment.setLogFaults({ outage: "refuse" });
  await deployment.stopVm(second, "SIGKILL");
  deployment.restartVm(second);
  third.control.process.kill("SIGCONT");
  third.entry.process.kill("SIGCONT");
  const violations = await expectVersion(deployment, 3);
  await sleep(1_000);
  violations.push(...await expectVersion(deployment, 3));
  await deployment.setLogFaults({ outage: "none" });
  await publishAt(first, 3, []);
  violations.push(...await expectVersion(deployment, 4));
  violations.push(...monitor.close());
  return { cases: 3, violations, summary: "version 4 at every entry" };
}

async function publishAt(
  vm: testbed.RunningVm,
  base: number,
  zonesOut: readonly string[],
): Promise<rpc.PublishVerdict> {
  const record = {
    kind: "publish",
    recordId: randomUUID(),
    base,
    author: `operator at ${vm.vmId}`,
    note: "",
    configuration: { ...CONFIGURATION, zonesOut },
  } as const;
  const answer = await rpc.callOnce(vm.controlRpc, "publish", record, {
    timeoutMs: 15_000,
  });
  return answer.isOk() ? answer.value : { kind: "unknown" };
}

/** Checks that every entry reports the version within seconds. */
async function expectVersion(
  deployment: testbed.Deployment,
  version: number,
): Promise<testbed.Violation[]> {
  try {
    await testbed.waitFor(async () => {
      const versions = await readVersions(deployment);
      return versions.every((reported) => reported === version);
    }, {
      description: `version ${version} at every entry`,
      timeoutMs: TAKE_EFFECT_BOUND_MS,
    });
    return [];
  } catch (error) {
    const versions = await readVersions(deployment);
    const detail = `${error}; reported versions: ${versions.join(", ")}`;
    return [{ guarantee: "in effect everywhere within seconds", detail }];
  }
}

async function readVersions(
  deployment: testbed.Deployment,
): Promise<(number | undefined)[]> {
  return await Promise.all(deployment.vms.map(async (vm) => {
    const status = await rpc.callOnce(vm.entryRpc, "status", {}, {
      timeoutMs: STATUS_TIMEOUT_MS,
    });
    return status.isOk() ? status.value.configVersion : undefined;
  }));
}
