/**
 * Guarantee 1: a request that may not be repeated runs at most once.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { setTimeout as sleep } from "node:timers/promises";
import {
  countOutcomes,
  expectCompleted,
  formatResult,
} from "../result_checks.ts";
import type { Scenario } from "../scenario.ts";
import {
  buildRequest,
  buildSmallPlan,
  createKey,
  mintKeys,
  rotateUrls,
} from "../small_plan.ts";

const GUARANTEE = 1;
const KEY_COUNT = 30;

/** Proofs of guarantee 1. */
export const AT_MOST_ONCE: readonly Scenario[] = [
  {
    point: GUARANTEE,
    name: "duplicates race through three entries",
    description:
      "A haulier must be billed once although the gate's client sent the ticket " +
      "request three times. Three entries receive the same key at the same time " +
      "and all claim it; the order in the log decides.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      const sends = Array.from({ length: KEY_COUNT }).flatMap((_, index) => {
        const key = createKey();
        const request = buildRequest("issue", index);
        return deployment.vms.map((_vm, first) =>
          testbed.sendRequest(request, {
            urls: rotateUrls(deployment, first),
            key,
            maxAttempts: 4,
          })
        );
      });
      const results = await Promise.all(sends);
      const violations = [
        ...await deployment.audit(results),
        ...expectCompleted(
          results,
          "a duplicate gets the answer of the first request",
        ),
      ];
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "entry killed between claim and answer",
    description:
      "The caller's connection breaks while its ticket is being issued, because " +
      "the entry that holds the claim was killed. The caller retries at another " +
      "entry, which must not issue a second ticket.",
    run: async (launcher) => {
      const plan = buildSmallPlan({ workers: { serviceMs: 60 } });
      const deployment = await testbed.Deployment.start(launcher, plan);
      const results = await sendDuringFault(deployment, async (victim) => {
        await sleep(250);
        await testbed.stopProgram(victim.entry, "SIGKILL");
      });
      const violations = await deployment.audit(results);
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "entry frozen between claim and dispatch, woken after the deadline",
    description:
      "An entry is paused for seconds after it has claimed a key, and resumes " +
      "long after its caller has retried elsewhere. Its local state still says " +
      "that it holds the claim; it must not issue a second ticket.",
    run: async (launcher) => {
      const plan = buildSmallPlan();
      const deployment = await testbed.Deployment.start(launcher, plan);
      await deployment.setLogFaults({ slowMs: 300 });
      const results = await sendDuringFault(deployment, async (victim) => {
        await sleep(150);
        victim.entry.process.kill("SIGSTOP");
        await sleep(2_500);
        await deployment.setLogFaults({ slowMs: 0 });
        victim.entry.process.kill("SIGCONT");
        await sleep(1_500);
      }, 1_000);
      const violations = await deployment.audit(results);
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "answers of appends lost",
    description:
      "Tickets must be issued once while append responses are lost: each claim " +
      "is in the log, but the control that appended it receives no response and " +
      "retries.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      await deployment.setLogFaults({ loseAnswers: 12 });
      const results = await sendAll(deployment, "issue", KEY_COUNT);
      const violations = [
        ...await deployment.audit(results),
        ...expectCompleted(
          results,
          "lost append responses only delay requests",
        ),
      ];
      const summary = countOutcomes(results);
      return { cases: results.length, violations, summary };
    },
  },
  {
    point: GUARANTEE,
    name: "log service down",
    description:
      "The log is down for a long time. Requests with minted keys run as before; " +
      "one with a UUIDv7 key is refused at once and runs when the log is back; " +
      "lookups and drafts are unaffected.",
    run: runOutage,
  },
  {
    point: GUARANTEE,
    name: "keys older than the kept window",
    description:
      "A client that was switched off overnight retries yesterday's request. " +
      "The log no longer retains yesterday's claim, so the request must not run.",
    run: async (launcher) => {
      const deployment = await testbed.Deployment.start(
        launcher,
        buildSmallPlan(),
      );
      const dayMs = 24 * 3_600_000;
      const results = await Promise.all(
        Array.from(
          { length: 10 },
          (_, index) =>
            testbed.sendRequest(buildRequest("issue", index), {
              urls: rotateUrls(deployment, index),
              key: createKey(dayMs),
            }),
        ),
      );
      const notRefused = results
        .filter((result) => result.answer?.name !== "KEY_EXPIRED")
        .map((result) => ({
          guarantee: "an expired key is refused",
          detail: formatResult(result),
        }));
      const audit = await deployment.audit(results);
      const summary = countOutcomes(results);
      return {
        cases: results.length,
        violations: [...audit, ...notRefused],
        summary,
      };
    },
  },
];

/** Sends requests to one entry first while a fault is injected into it. */
async function sendDuringFault(
  deployment: testbed.Deployment,
  injectFault: (victim: testbed.RunningVm) => Promise<void>,
  deadlineMs?: number,
): Promise<testbed.CallerResult[]> {
  const victim = deployment.vms[0];
  if (!victim) throw new Error("Cannot find a VM");
  const sends = Array.from({ length: KEY_COUNT }, async (_, index) => {
    await sleep(index * 10);
    return await testbed.sendRequest(buildRequest("issue", index, deadlineMs), {
      urls: rotateUrls(deployment, 0),
      key: createKey(),
      maxAttempts: 6,
    });
  });
  await injectFault(victim);
  return await Promise.all(sends);
}

/** Sends requests with distinct keys, distributed over all entries. */
async function sendAll(
  deployment: testbed.Deployment,
  pipeline: "issue" | "lookup" | "draft",
  count: number,
): Promise<testbed.CallerResult[]> {
  return await Promise.all(
    Array.from(
      { length: count },
      (_, index) =>
        testbed.sendRequest(buildRequest(pipeline, index), {
          urls: rotateUrls(deployment, index),
          key: createKey(),
          maxAttempts: 5,
        }),
    ),
  );
}

async function runOutage(launcher: testbed.ProcessLauncher) {
  const deployment = await testbed.Deployment.start(launcher, buildSmallPlan());
  await deployment.setLogFaults({ outage: "hang" });
  await sleep(5_000);
  const unminted = await Promise.all(
    Array.from(
      { length: 10 },
      (_, index) =>
        testbed.sendRequest(buildRequest("issue", index), {
          urls: rotateUrls(deployment, index),
          key: createKey(),
        }),
    ),
  );
  const minted = (await Promise.all(
    deployment.vms.map((vm) => mintKeys(vm.url, 10)),
  )).flat();
  const issued = await Promise.all(
    minted.map((key, index) =>
      testbed.sendRequest(buildRequest("issue", index), {
        urls: rotateUrls(deployment, index),
        key,
      })
    ),
  );
  const others = [
    ...await sendAll(deployment, "lookup", 20),
    ...await sendAll(deployment, "draft", 20),
  ];
  await deployment.setLogFaults({ outage: "none" });
  const retried = await Promise.all(
    unminted.map((result, index) =>
      testbed.sendRequest(result.request, {
        urls: rotateUrls(deployment, index),
        key: result.key,
        maxAttempts: 8,
      })
    ),
  );
  const lateRefusals = unminted.filter((result) => result.tookMs > 1_000);
  const violations = [
    ...await deployment.audit([...issued, ...retried]),
    ...expectCompleted(
      issued,
      "requests with minted keys run during an outage",
    ),
    ...expectCompleted(others, "lookups and drafts run during an outage"),
    ...expectCompleted(
      retried,
      "requests with UUIDv7 keys run after the outage",
    ),
    ...lateRefusals.map((result) => ({
      guarantee: "a refusal within a second",
      detail: formatResult(result),
    })),
  ];
  const summary =
    `during the outage: UUIDv7 keys ${countOutcomes(unminted)}; ` +
    `minted ${countOutcomes(issued)}; others ${countOutcomes(others)}; ` +
    `UUIDv7 keys after the outage ${countOutcomes(retried)}`;
  const cases = unminted.length + issued.length + others.length +
    retried.length;
  return { cases, violations, summary };
}
