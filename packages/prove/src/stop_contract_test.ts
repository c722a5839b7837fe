import * as testbed from "@sardinestep/testbed";
import { expect } from "chai";
import { buildSmallPlan, createKey, CUSTOMER_HEADERS } from "./small_plan.ts";

/** Calls outlast the shutdown of an entry. */
const SERVICE_MS = 5_000;
const SHUTDOWN_MS = 500;
const BODY = '{"input":{"truck":1}}';

describe("requests that are unfinished when an entry exits", () => {
  const launcher = new testbed.ProcessLauncher();
  let deployment: testbed.Deployment;

  before(async () => {
    const plan = buildSmallPlan({
      vms: 1,
      workers: { serviceMs: SERVICE_MS },
      entrySettings: { shutdownBoundMs: SHUTDOWN_MS },
    });
    deployment = await testbed.Deployment.start(launcher, plan);
  });

  after(() => launcher.stopAll());

  async function countCalls(): Promise<number> {
    const workers = await deployment.readWorkerCounters();
    return workers.reduce((sum, worker) => sum + worker.calls, 0);
  }

  function send(
    pipeline: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Response> {
    return fetch(`${deployment.vms[0]!.url}/v1/pipelines/${pipeline}`, {
      method: "POST",
      headers: { ...CUSTOMER_HEADERS, "x-deadline-ms": "60000", ...headers },
      body: BODY,
    });
  }

  // The exit closed their connections without an answer.
  it("get an answer that their outcome is unknown", async () => {
    const answers = [
      send("lookup"),
      send("issue", { "idempotency-key": createKey() }),
      send("draft", { accept: "text/event-stream" }),
    ].map((sent) => sent.then((answer) => answer.text()).catch(String));
    const until = performance.now() + SERVICE_MS;
    while (await countCalls() < answers.length) {
      expect(performance.now()).to.be.lessThan(until);
    }
    await testbed.stopProgram(deployment.vms[0]!.entry, "SIGTERM");
    const texts = await Promise.all(answers);
    const names = texts.map((text) => text.match(/"name":"(\w+)"/)?.[1]);
    const outcomes = texts.map((text) => text.match(/"outcome":"(\w+)"/)?.[1]);
    expect(names).to.deep.equal([
      "STAGE_FAILED",
      "OUTCOME_UNKNOWN",
      "STAGE_FAILED",
    ]);
    expect(outcomes).to.deep.equal(["unknown", "unknown", "unknown"]);
    expect(texts[2]).to.match(/^event: refusal/m);
  });
});
