import { expect } from "chai";
import { planReturn, type ReturnInput } from "./return_plan.ts";

const INPUT: ReturnInput = {
  requestId: "r1",
  roomMs: 600,
  drainMs: 2_000,
  neededMs: 1_500,
  timeoutMs: 6_000,
};

function planReturns(overrides: Partial<ReturnInput>): number[] {
  return Array.from(
    { length: 1_000 },
    (_, i) => planReturn({ ...INPUT, ...overrides, requestId: `r${i}` }),
  );
}

describe("planReturn", () => {
  // Guards against returns that arrive at one moment.
  it("spreads returns from the first room until the queues are empty", () => {
    const delays = planReturns({});
    expect(Math.min(...delays)).to.be.within(600, 620);
    expect(Math.max(...delays)).to.be.within(1_980, 2_000);
    const early = delays.filter((delay) => delay < 1_300).length;
    expect(early).to.be.within(430, 570);
  });

  it("spreads returns also if there is no room within a third of the time", () => {
    const delays = planReturns({ roomMs: 9_000, drainMs: 20_000 });
    expect(Math.min(...delays)).to.be.within(1_000, 1_020);
    expect(Math.max(...delays)).to.be.within(1_980, 2_000);
  });

  // Guards against returns that come too late to be answered.
  it("leaves the time that an answer takes", () => {
    const delays = planReturns({ neededMs: 5_200 });
    expect(Math.max(...delays)).to.be.at.most(800);
  });

  it("stays within a third of a short time", () => {
    const delays = planReturns({ timeoutMs: 600, neededMs: 590 });
    expect(Math.max(...delays)).to.be.at.most(200);
  });

  it("gives a request the same delay again", () => {
    expect(planReturn(INPUT)).to.equal(planReturn(INPUT));
  });
});
