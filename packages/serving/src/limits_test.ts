import { expect } from "chai";
import { COLD_WINDOW_MS, planColdPart } from "./cold_rate.ts";
import { planLeaderPart, planLimitPart } from "./rate_limit.ts";
import { RepeatBudget } from "./repeat_budget.ts";
import { SendRate } from "./vm_part.ts";

describe("RepeatBudget", () => {
  const options = { ratio: 0.2, extra: 50, windowMs: 10_000 };

  // An endpoint fails everything and every VM repeats everything: arrivals
  // double and the others sink too. Ten VMs together must keep the bound.
  it("keeps the bound over all VMs when everything fails", () => {
    const members = 10;
    const budgets = Array.from(
      { length: members },
      () => new RepeatBudget(options),
    );
    let repeats = 0;
    for (const budget of budgets) {
      for (let i = 0; i < 20; i++) {
        budget.recordRequest("bookings", i);
        if (!budget.mayRepeat("bookings", i, members)) continue;
        budget.recordRepeat("bookings", i);
        repeats += 1;
      }
    }
    expect(repeats).to.be.greaterThan(40);
    expect(repeats).to.be.at.most(0.2 * 200 + 50);
  });

  it("counts each service alone and forgets what left the window", () => {
    const budget = new RepeatBudget({ ratio: 0, extra: 2, windowMs: 1_000 });
    expect(budget.mayRepeat("a", 0, 1)).to.equal(true);
    budget.recordRepeat("a", 0);
    expect(budget.mayRepeat("a", 500, 1)).to.equal(false);
    expect(budget.mayRepeat("b", 500, 1)).to.equal(true);
    expect(budget.mayRepeat("a", 1_001, 1)).to.equal(true);
  });
});

describe("planColdPart", () => {
  const bound = { overrun: 1.5, slack: 5 };

  function planAll(count: number): number[] {
    const members = Array.from({ length: count }, (_, i) => `vm-${i}`);
    return members.map((vmId) =>
      planColdPart({ endpointId: "e1", vmId, members, perSecond: 12, bound })
    );
  }

  // A zone's endpoints come back cold and all VMs turn to them at once. More than
  // the bound in one second, summed over all VMs, makes them crash again.
  for (const count of [1, 3, 9, 12, 71, 300]) {
    it(`keeps the bound with ${count} VMs, none of them asked`, () => {
      const total = planAll(count).reduce((sum, one) => sum + one, 0);
      expect(total).to.be.within(1, 12 * 1.5 + 5);
    });
  }

  it("counts a VM that isn't listed yet", () => {
    const part = planColdPart({
      endpointId: "e1",
      vmId: "new",
      members: ["vm-1"],
      perSecond: 12,
      bound,
    });
    expect(part).to.equal(8);
  });
});

describe("planLimitPart", () => {
  const WINDOW_MS = 4_000;

  /** Most requests in any window that so many VMs send, as many as they may. */
  function countMost(count: number, perSecond: number): number {
    const members = Array.from({ length: count }, (_, i) => `vm-${i}`);
    const sent = members.flatMap((vmId) => {
      const part = planLimitPart({
        endpointId: "e1",
        vmId,
        members,
        perSecond,
      });
      return sendAll(part);
    });
    return countInWindow(sent);
  }

  function sendAll(part: ReturnType<typeof planLimitPart>): number[] {
    const rate = new SendRate(20_000);
    const sent: number[] = [];
    for (let now = 0; now < 30_000; now += 50) {
      if (!rate.mayRecord("e1", now, part)) continue;
      rate.record("e1", now);
      sent.push(now);
    }
    return sent;
  }

  function countInWindow(sent: readonly number[]): number {
    return Math.max(
      ...sent.map((start) =>
        sent.filter((at) => at >= start && at < start + WINDOW_MS).length
      ),
    );
  }

  // VMs that each send what an endpoint takes from all of them bring it down.
  for (const count of [1, 3, 9, 71, 300]) {
    for (const perSecond of [0, 0.1, 0.3, 1, 7.5, 60]) {
      it(`keeps ${perSecond} a second with ${count} VMs`, () => {
        const bound = Math.max(1, perSecond * WINDOW_MS / 1_000);
        expect(countMost(count, perSecond)).to.be.within(1, bound);
      });
    }
  }

  // A pool has two leaders for a while when VMs disagree about who lives.
  it("keeps the users' bound with two leaders of a pool", () => {
    for (const perSecond of [0.1, 1, 7.5, 60]) {
      const sent = sendAll(planLeaderPart(perSecond));
      const bound = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
      expect(countInWindow([...sent, ...sent])).to.be.at.most(bound);
    }
  });

  it("tells how long it is until one more may be sent", () => {
    const rate = new SendRate(10_000);
    const part = { part: 2, windowMs: 1_000 };
    rate.record("e1", 0);
    expect(rate.getWaitMs("e1", 100, part)).to.equal(0);
    rate.record("e1", 100);
    expect(rate.getWaitMs("e1", 200, part)).to.equal(800);
    expect(rate.getWaitMs("e1", 200, { ...part, part: 0 })).to.equal(Infinity);
  });
});

describe("SendRate", () => {
  it("keeps a part within any second", () => {
    const rate = new SendRate(COLD_WINDOW_MS);
    const part = { part: 3, windowMs: COLD_WINDOW_MS };
    const sent: number[] = [];
    for (let now = 0; now < 5_000; now += 37) {
      if (!rate.mayRecord("e1", now, part)) continue;
      rate.record("e1", now);
      sent.push(now);
    }
    for (const start of sent) {
      const inSecond = sent.filter((at) => at >= start && at < start + 1_000);
      expect(inSecond.length).to.be.at.most(3);
    }
    expect(sent.length).to.be.greaterThan(10);
  });
});
