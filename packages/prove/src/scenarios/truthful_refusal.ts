/**
 * Guarantee 2: a request refused as "not run" never ran.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { countOutcomes, formatResult } from "../result_checks.ts";
import type { Scenario } from "../scenario.ts";
import {
  buildRequest,
  buildSmallPlan,
  createKey,
  rotateUrls,
} from "../small_plan.ts";

const GUARANTEE = 2;
const REQUEST_COUNT = 24;

/** Proofs of guarantee 2. */
export const TRUTHFUL_REFUSAL: readonly Scenario[] = [
  {
    point: GUARANTEE,
    name: "service runs the call and its answer is lost",
    description:
      "The gate is told that the outcome is unknown, and the ticket exists: the " +
      "service issued it, but the response was lost. After 'not run' the gate " +
      "would issue it again under a new key.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      await setTicketFaults(deployment, { loseAnswer: REQUEST_COUNT });
      const results = await sendWithoutRetries(deployment);
      const violations = [
        ...await deployment.audit(results),
        ...expectOutcome(results, "unknown"),
      ];
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "deadline passes while the call runs",
    description:
      "The gate's deadline passes while the service processes the call. The " +
      "refusal may not say 'not run', because the ticket is still issued later.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      await setTicketFaults(deployment, { delayMs: 1_500 });
      const results = await sendWithoutRetries(deployment, 700);
      const late = results.filter((result) => result.tookMs > 1_200);
      const violations = [
        ...await deployment.audit(results),
        ...late.map((result) => ({
          guarantee: "an answer by the deadline",
          detail: formatResult(result),
        })),
      ];
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "service refuses before running",
    description:
      "Every worker refuses some calls before running them. The entry retries at " +
      "another worker; if it gives up, 'not run' is correct.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      await setTicketFaults(deployment, { refuse: REQUEST_COUNT });
      const results = await sendWithoutRetries(deployment);
      const violations = await deployment.audit(results);
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
];

async function setTicketFaults(
  deployment: testbed.Deployment,
  faults: unknown,
): Promise<void> {
  for (const endpointId of deployment.workerAddresses.keys()) {
    if (!endpointId.startsWith("tickets")) continue;
    await deployment.setWorkerFaults(endpointId, faults);
  }
}

async function sendWithoutRetries(
  deployment: testbed.Deployment,
  deadlineMs?: number,
): Promise<testbed.CallerResult[]> {
  return await Promise.all(
    Array.from(
      { length: REQUEST_COUNT },
      (_, index) =>
        testbed.sendRequest(buildRequest("issue", index, deadlineMs), {
          urls: rotateUrls(deployment, index),
          key: createKey(),
        }),
    ),
  );
}

function expectOutcome(
  results: readonly testbed.CallerResult[],
  outcome: string,
): testbed.Violation[] {
  return results
    .filter((result) => result.answer?.outcome !== outcome)
    .map((result) => ({
      guarantee: `the outcome is "${outcome}"`,
      detail: formatResult(result),
    }));
}
