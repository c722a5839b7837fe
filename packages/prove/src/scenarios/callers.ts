/**
 * Callers whose connections become half-open, and callers that read slowly.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { SilentRelay } from "@sardinestep/testing/silent_relay";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { countOutcomes, expectCompleted } from "../result_checks.ts";
import type { Scenario } from "../scenario.ts";
import {
  buildRequest,
  buildSmallPlan,
  createKey,
  CUSTOMER_HEADERS,
  type SmallPipeline,
} from "../small_plan.ts";

const CROSS_CUTTING_CHECK = 12;
const REQUEST_COUNT = 20;
const PIPELINES: readonly SmallPipeline[] = ["issue", "draft", "scaled-issue"];
const SLOW_READER_COUNT = 20;
const SLOW_SERVICE_MS = 300;

/** Proofs of the handling of silent and slow callers. */
export const CALLERS: readonly Scenario[] = [
  {
    point: CROSS_CUTTING_CHECK,
    name: "callers' connections go silent before the answer",
    description:
      "The gate waits for its ticket on a connection that is open but delivers " +
      "nothing. It times out and retries over a new connection with the same " +
      "key: it must get the ticket of its first request, not a second one.",
    run: runSilentCallers,
  },
  {
    point: CROSS_CUTTING_CHECK,
    name: "callers that never read their streams",
    description:
      "Callers open streams and never read them. Unsent data must not accumulate, " +
      "and other callers must not be affected.",
    run: runSlowReaders,
  },
];

async function runSilentCallers(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({ workers: { serviceMs: SLOW_SERVICE_MS } });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const { port } = new URL(deployment.vms[0]?.url ?? "");
  const relay = await SilentRelay.open({ port: Number(port) });
  // No answer may pass between the last call and the moment of silence.
  relay.setHoldingAnswers(true);
  try {
    const requests = Array.from({ length: REQUEST_COUNT }, (_, index) => ({
      request: buildRequest(
        PIPELINES[index % PIPELINES.length] ?? "issue",
        index,
      ),
      key: createKey(),
    }));
    const unanswered = requests.map(({ request, key }) =>
      testbed.sendRequest({ ...request, deadlineMs: 1_000 }, {
        urls: [`http://${relay.address}`],
        key,
      })
    );
    await waitForCalls(deployment);
    relay.silenceConnections();
    relay.setHoldingAnswers(false);
    const results = await Promise.all(
      requests.map(({ request, key }) =>
        testbed.sendRequest(request, {
          urls: [`http://${relay.address}`],
          key,
          maxAttempts: 4,
        })
      ),
    );
    const violations = [
      ...await deployment.audit(results),
      ...expectCompleted(results, "the retry gets the answer"),
    ];
    const answered = (await Promise.all(unanswered)).filter(({ answer }) =>
      answer
    );
    if (relay.silencedCount === 0 || answered.length > 0) {
      const detail =
        `${relay.silencedCount} connections silenced, ${answered.length} requests answered`;
      violations.push({
        guarantee: "silenced connections deliver no answer",
        detail,
      });
    }
    const summary = `${relay.silencedCount} connections silenced; retries: ` +
      countOutcomes(results);
    return { cases: results.length, violations, summary };
  } finally {
    await relay.close();
  }
}

async function runSlowReaders(launcher: testbed.ProcessLauncher) {
  const plan = buildSmallPlan({ workers: { tokens: 200, partMs: 1 } });
  const deployment = await testbed.Deployment.start(launcher, plan);
  const url = deployment.vms[0]?.url ?? "";
  const sockets = await Promise.all(
    Array.from({ length: SLOW_READER_COUNT }, () => openStream(url)),
  );
  const results = await Promise.all(
    Array.from(
      { length: REQUEST_COUNT },
      (_, index) =>
        testbed.sendRequest(buildRequest("draft", index), {
          urls: [url],
          key: createKey(),
          maxAttempts: 3,
        }),
    ),
  );
  const violations = [
    ...await deployment.audit(results),
    ...expectCompleted(results, "other callers are unaffected"),
    ...await expectIdle(url),
  ];
  for (const socket of sockets) socket.destroy();
  const summary = `${sockets.length} streams unread; others: ` +
    countOutcomes(results);
  return { cases: results.length + sockets.length, violations, summary };
}

/** Requests a stream and never reads from it. */
async function openStream(url: string): Promise<Socket> {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.pause();
  const body = JSON.stringify({ input: {} });
  const lines = [
    "POST /v1/pipelines/draft HTTP/1.1",
    `Host: ${hostname}`,
    "Accept: text/event-stream",
    `Content-Length: ${body.length}`,
    ...Object.entries(CUSTOMER_HEADERS).map((pair) => pair.join(": ")),
  ];
  socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
  return socket;
}

async function waitForCalls(deployment: testbed.Deployment): Promise<void> {
  await testbed.waitFor(async () => {
    const workers = await deployment.readWorkerCounters();
    return workers.reduce((sum, worker) => sum + worker.calls, 0) >=
      REQUEST_COUNT;
  }, { description: "running calls" });
}

/** Checks that unread streams leave no request running. */
async function expectIdle(url: string): Promise<testbed.Violation[]> {
  try {
    await testbed.waitFor(async () => {
      const metrics = await (await fetch(`${url}/metrics`)).text();
      return /^sardinestep_requests_running 0$/m.test(metrics);
    }, { description: "no running request" });
    return [];
  } catch (error) {
    return [{ guarantee: "requests end", detail: String(error) }];
  }
}
