/**
 * Faults that are combined into pairs; starting one returns its end function.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import type { Operators } from "./_operators.ts";

/** Targets that a fault acts on. */
export interface FaultContext {
  readonly deployment: testbed.Deployment;
  readonly operators: Operators;
}

/** Ends a fault. */
export type EndFault = () => Promise<void>;

/** Starts a fault; `index` gives the second fault of a pair another target. */
export type StartFault = (
  context: FaultContext,
  index: number,
) => Promise<EndFault>;

const LOST_ANSWERS = 8;

/** Faults by the names that the requirements give them. */
export const FAULTS = {
  "entry killed": async ({ deployment }, index) => {
    const victim = pickVm(deployment, index);
    await testbed.stopProgram(victim.entry, "SIGKILL");
    return async () => {
      deployment.restartEntry(victim);
      await deployment.waitForEntry(victim);
    };
  },
  "entry frozen": ({ deployment }, index) => {
    const victim = pickVm(deployment, index);
    victim.entry.process.kill("SIGSTOP");
    return Promise.resolve(async () => {
      victim.entry.process.kill("SIGCONT");
      await deployment.waitForEntry(victim);
    });
  },
  // A refusing log is detected at once, a hanging one only by timeouts.
  "log down": async ({ deployment }, index) => {
    const outage = index === 0 ? "refuse" : "hang";
    await deployment.setLogFaults({ outage });
    return () => deployment.setLogFaults({ outage: "none" });
  },
  "log answer lost": async ({ deployment }) => {
    const before = (await deployment.readLogCounters()).lostAnswers;
    await deployment.setLogFaults({ loseAnswers: LOST_ANSWERS });
    return async () => {
      // Waits until the fault took effect, even if the log was down in between.
      await testbed.waitFor(async () => {
        const { lostAnswers } = await deployment.readLogCounters();
        return (lostAnswers ?? 0) > (before ?? 0);
      }, { description: "a lost append response" });
      await deployment.setLogFaults({ loseAnswers: 0 });
    };
  },
  "endpoint cold": async ({ deployment }, index) => {
    await setWorkerFaultsByIndex(deployment, index, { restart: true });
    return async () => {};
  },
  "endpoint silent": async ({ deployment }, index) => {
    await setWorkerFaultsByIndex(deployment, index, {
      silentConnections: true,
    });
    return async () => {};
  },
  "zone out": async ({ operators }) => {
    await operators.takeZoneOut();
    return () => operators.bringZoneBack();
  },
  // A race ends when all operators have their verdicts. While the log is down
  // these are delayed until it is back, so only the end function waits for them.
  "operators racing": ({ operators }) => {
    const race = operators.race();
    return Promise.resolve(() => race);
  },
} as const satisfies Readonly<Record<string, StartFault>>;

/** The name of a fault. */
export type FaultName = keyof typeof FAULTS;

/** All faults, in the order in which pairs are formed. */
export const FAULT_NAMES = Object.keys(FAULTS) as FaultName[];

function pickVm(
  deployment: testbed.Deployment,
  index: number,
): testbed.RunningVm {
  const vm = deployment.vms[index];
  if (!vm) throw new Error(`Cannot find VM ${index}`);
  return vm;
}

/** Sets faults of a worker per service, none in the domain that is taken out. */
async function setWorkerFaultsByIndex(
  deployment: testbed.Deployment,
  index: number,
  faults: unknown,
): Promise<void> {
  for (const service of ["tickets", "encoders", "drafters"]) {
    await deployment.setWorkerFaults(`${service}-${index + 1}`, faults);
  }
}
