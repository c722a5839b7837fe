import { expect } from "chai";
import { Budget } from "./budget.ts";
import { buildStage } from "./decider_fixture.ts";
import { EndpointHealth } from "./endpoint_health.ts";
import { LatencyModel } from "./latency_model.ts";
import { ReportedLoad } from "./reported_load.ts";
import { getReturnMs } from "./return_time.ts";
import { WarmUp } from "./warm_up.ts";

describe("latency model", () => {
  it("learns sizes apart where time is not proportional", () => {
    const latency = new LatencyModel().getStage(buildStage());
    for (let count = 0; count < 50; count++) {
      latency.record(1, 50);
      latency.record(8, 100);
    }
    expect(latency.getExpected(1)).to.be.closeTo(50, 5);
    expect(latency.getExpected(8)).to.be.closeTo(100, 10);
  });

  it("is hardly moved by one stalled call", () => {
    const latency = new LatencyModel().getStage(buildStage());
    for (let count = 0; count < 50; count++) latency.record(1, 100);
    latency.record(1, 100_000);
    expect(latency.getExpected(1)).to.be.below(120);
  });
});

describe("endpoint health", () => {
  it("sees a straggler after three slow calls in a row", () => {
    const health = new EndpointHealth();
    // Calls that are expected to take 100 ms.
    const record = (ratio: number) =>
      health.recordFinish(ratio, { elapsedMs: 100 * ratio, now: 0 });
    for (const ratio of [10, 10, 1, 10, 10]) record(ratio);
    expect(health.hasBecomeSlow()).to.equal(false);
    record(10);
    expect(health.hasBecomeSlow()).to.equal(true);
  });

  it("pauses longer with each failure, calls that fail together once", () => {
    const health = new EndpointHealth();
    for (let count = 0; count < 8; count++) health.recordFailure("broken", 0);
    expect(health.pausedUntil).to.equal(1_000);
    health.recordFailure("broken", 1_000);
    expect(health.pausedUntil).to.equal(3_000);
  });
});

describe("reported load", () => {
  it("counts others' calls from a lagging report and own calls exactly", () => {
    // Every entry would send to the endpoint that looked idle a moment ago:
    // the report does not know of the calls that were sent since.
    const load = new ReportedLoad();
    load.recordStart(10);
    load.recordStart(30);
    const report = {
      endpointId: "d-1",
      instance: "run-1",
      state: "warm",
      measuredAt: 20,
      running: 11,
      waiting: 0,
    } as const;
    load.apply(report, 2);
    expect(load.others).to.be.closeTo(2, 1e-9);
    load.apply({ ...report, measuredAt: 15, running: 500 }, 2);
    expect(load.others).to.be.closeTo(2, 1e-9);
  });
});

describe("warm-up", () => {
  it("grows by one call for each four that finished", () => {
    const warmUp = new WarmUp();
    warmUp.start(1);
    for (let count = 0; count < 9; count++) warmUp.recordFinish();
    expect(warmUp.bound).to.equal(3);
  });
});

describe("budget", () => {
  it("bounds extra calls to a part of ordinary ones", () => {
    const budget = new Budget({ part: 0.1, max: 2 });
    let extra = 0;
    for (let call = 0; call < 100; call++) {
      budget.recordCall();
      if (budget.mayTake()) extra += 1;
    }
    expect(extra).to.be.within(10, 12);
  });
});

describe("return time", () => {
  it("lies within its bounds whatever the backlog", () => {
    const getMs = (lateMs: number, random: number) =>
      getReturnMs(undefined, { now: 0, lateMs, random });
    expect(getMs(0, 0)).to.be.at.least(200);
    expect(getMs(1e9, 0.99)).to.equal(30_000);
  });
});
