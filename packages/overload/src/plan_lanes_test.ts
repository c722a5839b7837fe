import { expect } from "chai";
import * as fc from "fast-check";
import { CustomerUsage } from "./customer_usage.ts";
import { type LaneGroup, planLanes } from "./plan_lanes.ts";

function buildGroup(id: string, more: Partial<LaneGroup> = {}): LaneGroup {
  return {
    id,
    rank: 0,
    customer: "one",
    workMs: 100,
    dueAt: 1_000,
    expiresAt: 5_000,
    isStarted: false,
    ...more,
  };
}

function plan(groups: readonly LaneGroup[], usage = new CustomerUsage()) {
  const { onTime, deferred } = planLanes({
    groups,
    freeInMs: [0],
    fullCallMs: 100,
    usage,
    now: 0,
  });
  const getIds = (lane: readonly LaneGroup[]) => lane.map(({ id }) => id);
  return { onTime: getIds(onTime), deferred: getIds(deferred) };
}

describe("planLanes", () => {
  it("keeps due order if every group can be on time", () => {
    const groups = [
      buildGroup("b", { dueAt: 200, rank: 0 }),
      buildGroup("a", { dueAt: 100, rank: 5 }),
    ];
    expect(plan(groups)).to.deep.equal({ onTime: ["a", "b"], deferred: [] });
  });

  it("defers the least urgent rank first", () => {
    const groups = [
      buildGroup("usual", { dueAt: 0, rank: 1 }),
      buildGroup("urgent", { dueAt: 50 }),
    ];
    expect(plan(groups))
      .to.deep.equal({ onTime: ["urgent"], deferred: ["usual"] });
  });

  it("defers the customer with the most work, then its group that is due last", () => {
    const usage = new CustomerUsage();
    usage.record("large", 500, 0);
    const groups = [
      buildGroup("x", { dueAt: 90, workMs: 20, customer: "large" }),
      buildGroup("y", { dueAt: 91, workMs: 10, customer: "large" }),
      buildGroup("small", { dueAt: 99, workMs: 75 }),
    ];
    expect(plan(groups, usage))
      .to.deep.equal({ onTime: ["x", "small"], deferred: ["y"] });
  });

  // A group that is late anyhow made every less urgent group late as well.
  it("defers none for an urgent group that can't be on time anyhow", () => {
    const groups = [
      buildGroup("usual", { dueAt: 150, rank: 1 }),
      buildGroup("urgent", { dueAt: 160, workMs: 250 }),
    ];
    expect(plan(groups))
      .to.deep.equal({ onTime: ["usual"], deferred: ["urgent"] });
  });

  it("serves started groups first, and deferred ones by expiry", () => {
    const groups = [
      buildGroup("late", { dueAt: -10, expiresAt: 4_000 }),
      buildGroup("later", { dueAt: -20, expiresAt: 6_000 }),
      buildGroup("onTime", { dueAt: 100 }),
      buildGroup("started", { dueAt: -500, rank: 9, isStarted: true }),
    ];
    expect(plan(groups)).to.deep.equal({
      onTime: ["started", "onTime"],
      deferred: ["late", "later"],
    });
  });

  // Without it a deferred group is dropped behind groups that have time to spare.
  it("serves a late group at its last chance before groups with time to spare", () => {
    const late = buildGroup("late", { dueAt: -10, expiresAt: 140 });
    expect(plan([buildGroup("onTime", { dueAt: 300 }), late]).onTime)
      .to.deep.equal(["late", "onTime"]);
  });

  // Every deferred group gets to its last chance under lasting overload. If all of
  // them go first, no request is on time any more.
  it("makes no group of the same rank late for a last chance", () => {
    const late = buildGroup("late", { dueAt: -10, expiresAt: 90 });
    expect(plan([buildGroup("onTime", { dueAt: 50 }), late]).deferred)
      .to.deep.equal(["late"]);
    const usual = buildGroup("usual", { dueAt: 50, rank: 1 });
    expect(plan([usual, late]).onTime).to.deep.equal(["late"]);
  });

  it("drops groups whose caller can't be reached any more", () => {
    const gone = buildGroup("gone", { dueAt: -900, expiresAt: -1 });
    expect(plan([gone])).to.deep.equal({ onTime: [], deferred: [] });
  });

  // While four endpoints have just started calls, work divided by four is too early.
  it("counts the time until endpoints are free", () => {
    const group = buildGroup("a", { dueAt: 80 });
    const options = { groups: [group], fullCallMs: 100, now: 0 };
    const usage = new CustomerUsage();
    expect(planLanes({ ...options, usage, freeInMs: [90, 95, 99] }).deferred)
      .to.deep.equal([group]);
    expect(planLanes({ ...options, usage, freeInMs: [70, 95, 99] }).onTime)
      .to.deep.equal([group]);
  });

  it("keeps each group in one lane, and those on time in time", () => {
    const group = fc.record({
      rank: fc.nat(3),
      customer: fc.constantFrom("a", "b", undefined),
      workMs: fc.integer({ min: 1, max: 150 }),
      dueAt: fc.integer({ min: -300, max: 1_500 }),
      isStarted: fc.constant(false),
    });
    fc.assert(
      fc.property(fc.array(group, { maxLength: 40 }), (drawn) => {
        const groups = drawn.map((more, index) =>
          buildGroup(`${index}`, { ...more, expiresAt: more.dueAt + 1_000 })
        );
        const { onTime, deferred } = plan(groups);
        expect([...onTime, ...deferred].sort())
          .to.deep.equal(groups.map(({ id }) => id).sort());
        let aheadMs = 0;
        for (const id of onTime) {
          const { workMs, dueAt, expiresAt } = groups[Number(id)]!;
          aheadMs += workMs;
          const startsAt = Math.max(0, Math.ceil(aheadMs / 100) - 1) * 100;
          expect(startsAt).to.be.at.most(dueAt < 0 ? expiresAt : dueAt);
        }
      }),
      { seed: 1 },
    );
  });
});
