/**
 * Guarantee 5: a service restarts while no entry has a connection to it.
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
  createKey,
  rotateUrls,
} from "../small_plan.ts";

const COLD_MS = 1_200;
/** Longer than the idle timeout of connections. */
const IDLE_MS = 6_000;
const BURST_SIZE = 45;

/** Proofs with restarts that no broken connection reveals. */
export const UNDETECTED_RESTART: readonly Scenario[] = [
  {
    point: 5,
    name: "a service restarts unannounced and unconnected",
    description:
      "The ticket service is overloaded in the morning: its workers were " +
      "restarted while idle. Each single call uses its own connection, so none " +
      "was open that could break, and every entry sends as many calls as a warm " +
      "worker can handle.",
    run: async (launcher) => {
      const plan = buildSmallPlan({
        workers: { coldMs: COLD_MS, serviceMs: 40 },
        // Load reports at this interval arrive too late to reveal the restart.
        controlSettings: { loadIntervalMs: 1_000 },
      });
      const deployment = await testbed.Deployment.start(launcher, plan);
      const first = await sendBurst(deployment);
      await sleep(IDLE_MS);
      for (const number of [1, 2, 3]) {
        await deployment.setWorkerFaults(`tickets-${number}`, {
          restart: true,
        });
      }
      const results = [...first, ...await sendBurst(deployment)];
      const violations = [
        ...await deployment.audit(results),
        ...expectCompleted(results, "requests complete again within seconds"),
      ];
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
];

async function sendBurst(
  deployment: testbed.Deployment,
): Promise<testbed.CallerResult[]> {
  return await Promise.all(
    Array.from(
      { length: BURST_SIZE },
      (_, index) =>
        testbed.sendRequest(buildRequest("issue", index), {
          urls: rotateUrls(deployment, index),
          key: createKey(),
          maxAttempts: 12,
        }),
    ),
  );
}
