import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import { HostSpeeds } from "./host_speeds.ts";

describe("HostSpeeds", () => {
  it("returns a new report as it is, and 1 where nothing is known", () => {
    const speeds = new HostSpeeds();
    expect(speeds.getSlowdown("e1", 0)).to.equal(1);
    speeds.recordReport("e1", 2.5, 1_000);
    expect(speeds.getSlowdown("e1", 1_000)).to.equal(2.5);
  });

  it("moves from the report to the mean of all with its age", () => {
    const speeds = new HostSpeeds();
    for (let i = 0; i < 20; i++) speeds.recordReport(`e${i}`, 1, 1_000);
    speeds.recordReport("slow", 2.5, 1_000);
    const ages = [0, 50, 150, 300, 600, 1_200, 6_400];
    const values = ages.map((age) => speeds.getSlowdown("slow", 1_000 + age));
    expect(values[0]).to.equal(2.5);
    expect([...values].sort((a, b) => b - a)).to.deep.equal(values);
    expect(values.at(-1)).to.be.closeTo(1, 0.1);
  });

  // Guards the estimate that placement multiplies with, by age of the report.
  it("estimates the slowdown by age before any pair is observed", function () {
    const speeds = new HostSpeeds();
    speeds.recordReport("e1", 1, 0);
    speeds.recordReport("slow", 2.5, 0);
    const ages = [0, 100, 300, 600, 1_200, 3_000, 10_000, 60_000];
    expectSnapshot(
      this,
      ages.map((age) =>
        `${age} ms: ${speeds.getSlowdown("slow", age).toFixed(2)}`
      ),
    );
  });

  // Guards against a fixed validity: hosts that stay slow for long would be forgotten.
  it("learns how long reports remain valid", () => {
    const run = (periodMs: number) => {
      const speeds = new HostSpeeds();
      let now = 0;
      for (; now < 120_000; now += 150) {
        for (let i = 0; i < 12; i++) {
          const period = Math.floor((now + i * periodMs / 12) / periodMs);
          const isSlow = (period + i) % 6 === 0;
          speeds.recordReport(`e${i}`, isSlow ? 2.5 : 1, now + i);
        }
      }
      speeds.recordReport("slow", 2.5, now);
      return speeds.getSlowdown("slow", now + 300);
    };
    expect(run(10_000)).to.be.greaterThan(2.2);
    expect(run(300)).to.be.lessThan(1.6);
  });

  // Failure: an endpoint, or all of them, stop reporting.
  it("goes back to 1 when reports stop", () => {
    const speeds = new HostSpeeds();
    for (let now = 0; now < 10_000; now += 100) {
      speeds.recordReport("e1", 3, now);
    }
    expect(speeds.getSlowdown("e1", 10_000)).to.be.greaterThan(2.5);
    expect(speeds.getSlowdown("e1", 100_000)).to.be.closeTo(1, 0.01);
    expect(speeds.findReport("e1", 100_000)).to.equal(undefined);
  });

  // Failure: an endpoint reports figures that can't be true.
  it("ignores wrong figures", () => {
    const speeds = new HostSpeeds();
    speeds.recordReport("e1", 2, 0);
    for (const figure of [0, -1, NaN, Infinity, 0.01, 1e9]) {
      expect(speeds.recordReport("e1", figure, 0)).to.equal(false);
      speeds.recordRatio("e1", figure <= 0 ? figure : NaN, 0);
    }
    expect(speeds.getSlowdown("e1", 0)).to.equal(2);
  });

  it("uses observed ratios only for endpoints that report nothing", () => {
    const speeds = new HostSpeeds();
    speeds.recordReport("reports", 1, 0);
    for (let i = 0; i < 20; i++) {
      speeds.recordRatio("reports", 5, 0);
      speeds.recordRatio("silent", 5, 0);
    }
    expect(speeds.getSlowdown("reports", 0)).to.equal(1);
    expect(speeds.getSlowdown("silent", 0)).to.be.closeTo(5, 0.1);
  });

  // Guards against state that grows with each replaced endpoint.
  it("forgets endpoints that are gone", () => {
    const speeds = new HostSpeeds();
    speeds.recordReport("e1", 5, 0);
    speeds.keep(new Set());
    expect(speeds.findReport("e1", 0)).to.equal(undefined);
  });
});
