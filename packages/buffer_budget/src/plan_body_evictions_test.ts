import { expect } from "chai";
import { BufferBudget } from "./buffer_budget.ts";
import { planBodyEvictions } from "./plan_body_evictions.ts";

describe("planBodyEvictions", () => {
  const bodies = [
    { id: 1, heldBytes: 4_000, stalledMs: 50 },
    { id: 2, heldBytes: 4_000, stalledMs: 900 },
    { id: 3, heldBytes: 100, stalledMs: 5_000 },
    { id: 4, heldBytes: 1_000, stalledMs: 0 },
  ];

  it("picks the largest that stalls longest, and no more than are needed", () => {
    expect(planBodyEvictions(bodies, { id: 4, neededBytes: 10 })).to.deep
      .equal([2]);
    expect(planBodyEvictions(bodies, { id: 4, neededBytes: 4_050 })).to.deep
      .equal([2, 3]);
  });

  // A caller who stalls would end the bodies of others with each byte.
  it("picks none if the body in need is the first to give way", () => {
    expect(planBodyEvictions(bodies, { id: 2, neededBytes: 10 })).to.deep
      .equal([]);
  });

  it("picks none if that can't free enough", () => {
    expect(planBodyEvictions(bodies, { id: 4, neededBytes: 9_000 })).to.deep
      .equal([]);
  });
});

describe("bodies of a BufferBudget", () => {
  let now = 0;
  let cancelled: string[] = [];

  function openBody(budget: BufferBudget, name: string) {
    const account = budget.openAccount(() => {});
    account.startBody(() => {
      cancelled.push(name);
      account.endBody(0);
    });
    return account;
  }

  beforeEach(() => {
    now = 0;
    cancelled = [];
  });

  // Bytes that trickle in look like progress.
  it("stall while they receive little", () => {
    const budget = new BufferBudget({ limitBytes: 100_000, getNow: () => now });
    const account = openBody(budget, "crawling");
    account.recordBody({ heldBytes: 8_192, receivedBytes: 8_192 });
    now = 1_000;
    account.recordBody({ heldBytes: 8_192, receivedBytes: 8_200 });
    expect(account.stalledMs).to.equal(1_000);
    account.recordBody({ heldBytes: 16_384, receivedBytes: 12_300 });
    expect(account.stalledMs).to.equal(0);
  });

  it("give way to one that needs room, until they are complete", () => {
    const budget = new BufferBudget({ limitBytes: 10_000, getNow: () => now });
    const complete = openBody(budget, "complete");
    complete.recordBody({ heldBytes: 4_000, receivedBytes: 4_000 });
    complete.endBody(4_000);
    const stalled = openBody(budget, "stalled");
    stalled.recordBody({ heldBytes: 5_000, receivedBytes: 5_000 });
    now = 500;
    const arriving = openBody(budget, "arriving");
    arriving.recordBody({ heldBytes: 2_000, receivedBytes: 2_000 });
    expect(budget.hasRoom(arriving)).to.equal(true);
    expect(cancelled).to.deep.equal(["stalled"]);
    expect(budget.heldBytes).to.equal(6_000);
    expect(budget.cancelledBodiesTotal).to.equal(1);
    arriving.recordBody({ heldBytes: 8_000, receivedBytes: 8_000 });
    expect(budget.hasRoom(arriving)).to.equal(false);
  });

  // Large requests that run filled the budget, and none of them can give way.
  it("leave part of the budget to small requests", () => {
    const budget = new BufferBudget({ limitBytes: 80_000, getNow: () => now });
    const running = budget.openAccount(() => {});
    running.add("body", 62_000);
    const large = openBody(budget, "large");
    large.recordBody({ heldBytes: 16_385, receivedBytes: 16_385 });
    expect(budget.hasRoom(large)).to.equal(false);
    large.close();
    const small = openBody(budget, "small");
    small.recordBody({ heldBytes: 9_000, receivedBytes: 9_000 });
    expect(budget.hasRoom(small)).to.equal(true);
  });
});
