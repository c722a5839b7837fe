import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { PROCESS_STATE, type ProcessState } from "./http_pool.ts";
import { ProcessReports } from "./process_reports.ts";

const ENDPOINT: serving.ServingEndpoint = {
  id: "e1",
  service: "engine",
  address: "10.0.0.1:1",
  zone: "zone-a",
  slots: 64,
  isDraining: false,
  coldMs: 0,
  bornMs: 7,
  version: "v1",
};

describe("ProcessReports", () => {
  let answers: ((state: ProcessState) => void)[];
  let lines: Record<string, unknown>[];
  let replaced: string[];
  let reports: ProcessReports;

  beforeEach(() => {
    answers = [];
    lines = [];
    replaced = [];
    reports = new ProcessReports({
      checkProcess: () => new Promise((resolve) => answers.push(resolve)),
      events: new logger.EventLog({
        process: "test",
        vmId: "vm-1",
        output: {
          writableLength: 0,
          write: (text: string) => lines.push(JSON.parse(text)),
        },
      }),
      metrics: new metrics.Metrics({ prefix: "test" }),
      handleReplaced: ({ id }) => replaced.push(id),
    });
  });

  async function answer(report: number, state: ProcessState): Promise<void> {
    answers[report]!(state);
    await new Promise(setImmediate);
  }

  it("asks no process that was seen to run since", async () => {
    const openedAt = performance.now();
    const state = reports.check(ENDPOINT, openedAt);
    await answer(0, PROCESS_STATE.running);
    expect(await state).to.equal("running");
    expect(reports.hasRun(ENDPOINT, openedAt)).to.equal(true);
    expect(await reports.check(ENDPOINT, openedAt)).to.equal("running");
    expect(answers).to.have.length(1);
  });

  // A report from before a connection says nothing about its process.
  it("asks again for a connection that was opened after a report was asked for", async () => {
    const first = reports.check(ENDPOINT, performance.now());
    await new Promise(setImmediate);
    const openedAt = performance.now();
    const second = reports.check(ENDPOINT, openedAt);
    await answer(0, PROCESS_STATE.running);
    expect(await first).to.equal("running");
    expect(reports.hasRun(ENDPOINT, openedAt)).to.equal(false);
    await answer(1, PROCESS_STATE.replaced);
    expect(await second).to.equal("replaced");
  });

  // An endpoint resets the connections of many reports at once.
  it("asks three times for any number of answers that end together", async () => {
    const states = Array.from(
      { length: 40 },
      () => reports.check(ENDPOINT, performance.now()),
    );
    for (const report of [0, 1, 2]) {
      await answer(report, PROCESS_STATE.running);
    }
    expect(new Set(await Promise.all(states))).to.deep.equal(
      new Set(["running"]),
    );
    expect(answers).to.have.length(3);
  });

  it("knows that a process was replaced until its record changes", async () => {
    void reports.check(ENDPOINT, 0);
    await answer(0, PROCESS_STATE.replaced);
    expect(reports.isReplaced(ENDPOINT)).to.equal(true);
    expect(await reports.check(ENDPOINT, 0)).to.equal("replaced");
    expect(answers).to.have.length(1);
    expect(reports.isReplaced({ ...ENDPOINT, bornMs: 8 })).to.equal(false);
    expect(lines.map(({ event, endpointId }) => [event, endpointId]))
      .to.deep.equal([["endpoint_replaced", "e1"]]);
    expect(replaced).to.deep.equal(["e1"]);
  });

  // One report that is lost must not end streams of an endpoint for good.
  for (const state of [PROCESS_STATE.ended, PROCESS_STATE.unknown]) {
    it(`asks again after a report that is ${state}`, async () => {
      void reports.check(ENDPOINT, 0);
      await answer(0, state);
      expect(reports.isReplaced(ENDPOINT)).to.equal(false);
      void reports.check(ENDPOINT, 0);
      expect(answers).to.have.length(2);
    });
  }

  it("forgets endpoints that are no longer registered", async () => {
    void reports.check(ENDPOINT, 0);
    await answer(0, PROCESS_STATE.running);
    reports.keep(new Set());
    expect(reports.hasRun(ENDPOINT, 0)).to.equal(false);
  });
});
