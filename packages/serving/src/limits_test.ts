import { expect } from "chai";
import { COLD_WINDOW_MS, planColdShare } from "./cold_rate.ts";
import { planLeaderShare, planLimitShare } from "./rate_limit.ts";
import { SendRate } from "./vm_share.ts";

describe("planColdShare", () => {
  const bound = { overrun: 1.5, slack: 5 };

  function planAll(count: number): number[] {
    const members = Array.from({ length: count }, (_, i) => `vm-${i}`);
    return members.map((vmId) =>
      planColdShare({ endpointId: "e1", vmId, members, perSecond: 12, bound })
    );
  }

  // A zone's endpoints restart cold and all VMs use them at once. More requests in
  // a second over all VMs than the limit allows would crash them again.
  for (const count of [1, 3, 9, 12, 71, 300]) {
    it(`stays within the limit with ${count} VMs without coordination`, () => {
      const total = planAll(count).reduce((sum, share) => sum + share, 0);
      expect(total).to.be.within(1, 12 * 1.5 + 5);
    });
  }

  it("counts a VM that isn't listed yet", () => {
    const share = planColdShare({
      endpointId: "e1",
      vmId: "new",
      members: ["vm-1"],
      perSecond: 12,
      bound,
    });
    expect(share).to.equal(8);
  });
});

describe("planLimitShare", () => {
  const WINDOW_MS = 4_000;

  /** Most requests in any window if every VM sends as many as it may. */
  function countMost(count: number, perSecond: number): number {
    const members = Array.from({ length: count }, (_, i) => `vm-${i}`);
    const sent = members.flatMap((vmId) => {
      const share = planLimitShare({
        endpointId: "e1",
        vmId,
        members,
        perSecond,
      });
      return sendAll(share);
    });
    return countInWindow(sent);
  }

  function sendAll(share: ReturnType<typeof planLimitShare>): number[] {
    const rate = new SendRate(20_000);
    const sent: number[] = [];
    for (let now = 0; now < 30_000; now += 50) {
      if (!rate.maySend("e1", now, share)) continue;
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

  // VMs that each use the whole limit of an endpoint overload it.
  for (const count of [1, 3, 9, 71, 300]) {
    for (const perSecond of [0, 0.1, 0.3, 1, 7.5, 60]) {
      it(`stays within ${perSecond} a second with ${count} VMs`, () => {
        const bound = Math.max(1, perSecond * WINDOW_MS / 1_000);
        expect(countMost(count, perSecond)).to.be.within(1, bound);
      });
    }
  }

  // VMs that disagree about who is alive give a pool two leaders for a while.
  it("stays within the operator's limit with two leaders of a pool", () => {
    for (const perSecond of [0.1, 1, 7.5, 60]) {
      const sent = sendAll(planLeaderShare(perSecond));
      const bound = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
      expect(countInWindow([...sent, ...sent])).to.be.at.most(bound);
    }
  });

  it("returns the time until the next request may be sent", () => {
    const rate = new SendRate(10_000);
    const share = { requests: 2, windowMs: 1_000 };
    rate.record("e1", 0);
    expect(rate.getWaitMs("e1", 100, share)).to.equal(0);
    rate.record("e1", 100);
    expect(rate.getWaitMs("e1", 200, share)).to.equal(800);
    expect(rate.getWaitMs("e1", 200, { ...share, requests: 0 })).to.equal(
      Infinity,
    );
  });
});

describe("SendRate", () => {
  it("stays within its share in any second", () => {
    const rate = new SendRate(COLD_WINDOW_MS);
    const share = { requests: 3, windowMs: COLD_WINDOW_MS };
    const sent: number[] = [];
    for (let now = 0; now < 5_000; now += 37) {
      if (!rate.maySend("e1", now, share)) continue;
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
