import { expect } from "chai";
import { CustomerUsage } from "./customer_usage.ts";

describe("CustomerUsage", () => {
  it("halves recorded work every two seconds", () => {
    const usage = new CustomerUsage();
    usage.record("a", 800, 1_000);
    usage.record("a", 100, 3_000);
    expect(usage.getWorkMs("a", 3_000)).to.be.closeTo(500, 1e-6);
    expect(usage.getWorkMs("a", 5_000)).to.be.closeTo(250, 1e-6);
    expect(usage.getWorkMs("b", 5_000)).to.equal(0);
  });

  // A VM that was frozen for hours overflows the scale of its old entries.
  it("forgets work after a long pause without overflow", () => {
    const usage = new CustomerUsage();
    usage.record("a", 800, 0);
    expect(usage.getWorkMs("a", 1e9)).to.equal(0);
    usage.record("b", 100, 1e9);
    expect(usage.size).to.equal(1);
    expect(usage.getWorkMs("b", 1e9)).to.be.closeTo(100, 1e-6);
  });

  // With a key for each caller the map of a leader would grow without bound.
  it("keeps the largest of more customers than its bound", () => {
    const usage = new CustomerUsage(16);
    usage.record("large", 1_000, 0);
    for (let index = 0; index < 500; index++) {
      usage.record(`small-${index}`, 1, index);
      expect(usage.size).to.be.at.most(16);
    }
    expect(usage.getLargest(1, 500)[0]?.customer).to.equal("large");
  });

  // A leader that starts from none serves the largest customer as if it were new.
  it("starts from a report, aged, unless work was recorded", () => {
    const usage = new CustomerUsage();
    usage.adopt([{ customer: "a", workMs: 400 }], 2_000, 10_000);
    expect(usage.getWorkMs("a", 10_000)).to.be.closeTo(200, 1e-6);
    usage.adopt([{ customer: "a", workMs: 9_000 }], 0, 10_000);
    expect(usage.getWorkMs("a", 10_000)).to.be.closeTo(200, 1e-6);
  });

  it("ignores work that is not positive", () => {
    const usage = new CustomerUsage();
    for (const workMs of [0, -5, NaN]) usage.record("a", workMs, 0);
    expect(usage.size).to.equal(0);
  });
});
