import * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { type ActiveGroup, createActiveGroup } from "./active_group.ts";
import type { ReportedLoad } from "./leader_table.ts";
import { PoolOrder } from "./pool_order.ts";

/** Calls cost 20 ms and 1 ms a piece; a full one takes 24 ms. */
const POOL: serving.PoolSpec = {
  batchSize: 4,
  callMs: 20,
  pieceMs: 1,
  roomBytes: 1_000,
  resultTtlMs: 4_000,
};

function buildGroup(
  requestId: string,
  more: Partial<serving.PieceGroup> = {},
): ActiveGroup {
  const active = createActiveGroup({
    requestId,
    fingerprint: requestId,
    stage: 1,
    pieces: 4,
    inputs: [],
    resultBytes: 100,
    rank: 0,
    localBytes: {},
    isInvested: true,
    dueAt: 1_010,
    expiresAt: 9_000,
    giveUpAt: 9_000,
    ...more,
  }, () => {});
  return { ...active, queuedAt: 0 };
}

function buildOrder(isContended: boolean, reported?: ReportedLoad): PoolOrder {
  return new PoolOrder({
    isContended: () => isContended,
    findReportedLoad: () => reported,
  });
}

function rankIds(order: PoolOrder, queue: readonly ActiveGroup[], now = 1_000) {
  const { ranked } = order.rank({ queue, pool: POOL, endpointIds: ["e"], now });
  return ranked.map(({ group }) => group.requestId);
}

function recordStart(order: PoolOrder, group: ActiveGroup, now: number): void {
  order.recordStart(
    {
      endpointId: "e",
      plan: [{ queued: group, pieces: group.waiting }],
      expectedMs: 24,
    },
    POOL,
    now,
  );
}

describe("PoolOrder", () => {
  it("keeps the order of other deployments", () => {
    const order = buildOrder(false);
    const queue = [
      buildGroup("a", { dueAt: 1_500 }),
      buildGroup("b"),
      buildGroup("c", { dueAt: 100 }),
    ];
    const expected = serving.rankQueue(queue, 1_000);
    expect(rankIds(order, queue))
      .to.deep.equal(expected.map(({ group }) => group.requestId));
    const state = { queue, pool: POOL, endpointIds: ["e"], now: 1_000 };
    expect(order.rank(state).spaceRule).to.equal(undefined);
    expect(order.planLoad(state)).to.deep.equal({});
    expect(order.getReport(1_000)).to.deep.equal({});
  });

  // A group that is a little late went on in front of groups that could be on time.
  it("serves a late group after those that can be on time", () => {
    const queue = [
      buildGroup("late", { dueAt: 990 }),
      buildGroup("onTime", { dueAt: 2_900 }),
    ];
    expect(rankIds(buildOrder(false), queue))
      .to.deep.equal(["late", "onTime"]);
    const order = buildOrder(true);
    expect(rankIds(order, queue)).to.deep.equal(["onTime", "late"]);
    const state = { queue, pool: POOL, endpointIds: ["e"], now: 1_000 };
    const { isKeptOnTime } = order.planLoad(state);
    expect(queue.map((queued) => isKeptOnTime!(queued)))
      .to.deep.equal([false, true]);
  });

  it("serves a started group first", () => {
    const started = buildGroup("started", { dueAt: 990, rank: 5 });
    started.startedIn = "a";
    expect(rankIds(buildOrder(true), [buildGroup("onTime"), started]))
      .to.deep.equal(["started", "onTime"]);
  });

  // A leader dies in a burst. If its successor starts from none, the customer with
  // the most work gets its whole share again at each change.
  it("starts from the usage that an earlier leader reported", () => {
    const queue = [
      buildGroup("large", { customer: "large" }),
      buildGroup("small", { customer: "small" }),
    ];
    const usage = [{ customer: "large", workMs: 500 }];
    const load = { ...serving.UNKNOWN_LOAD, usage };
    expect(rankIds(buildOrder(true, { load, ageMs: 100 }), queue))
      .to.deep.equal(["small", "large"]);
    const other = [{ customer: "small", workMs: 500 }];
    expect(
      rankIds(
        buildOrder(true, { load: { ...load, usage: other }, ageMs: 100 }),
        queue,
      ),
    ).to.deep.equal(["large", "small"]);
  });

  // Without a report, or with one of a VM that was frozen for a minute, a new leader
  // treats all customers alike instead of failing.
  it("starts from none without a recent report", () => {
    const usage = [{ customer: "large", workMs: 500 }];
    const load = { ...serving.UNKNOWN_LOAD, usage };
    const order = buildOrder(true, { load, ageMs: 60_000 });
    rankIds(order, [buildGroup("large", { customer: "large" })]);
    expect(order.getReport(1_000)).to.deep.equal({ usage: [] });
    expect(rankIds(buildOrder(true), [buildGroup("a")]))
      .to.deep.equal(["a"]);
  });

  it("reports the 16 customers with the most work", () => {
    const order = buildOrder(true);
    for (let index = 1; index <= 20; index++) {
      const pieces = index;
      const group = buildGroup("r", { customer: `c${index}`, pieces });
      recordStart(order, group, 1_000);
    }
    const { usage } = order.getReport(1_000);
    expect(usage).to.have.length(16);
    expect(usage![0]).to.deep.equal({ customer: "c20", workMs: 120 });
  });

  // A plan of 10 ms ago lacks the group that has arrived since.
  it("plans again when a group arrives", () => {
    const order = buildOrder(true);
    const queue = [buildGroup("a", { dueAt: 3_000 })];
    expect(rankIds(order, queue)).to.deep.equal(["a"]);
    queue.push(buildGroup("b", { dueAt: 2_000 }));
    expect(rankIds(order, queue, 1_001)).to.deep.equal(["b", "a"]);
  });

  // If nothing is released, an endpoint must not wait for space for ever.
  it("waits for space for at most half of a call's fixed cost", () => {
    const order = buildOrder(true);
    const space = new serving.ResultSpace();
    space.addBytes("e", 900);
    const queued = buildGroup("a");
    const plan = {
      pieces: [{ queued, pieces: [0] }],
      reservations: [],
      lacksSpace: buildGroup("b", { resultBytes: 10 }),
    };
    const isWaiting = (now: number) =>
      order.isWaitingForSpace("e", plan, POOL, space, now);
    expect(isWaiting(1_000)).to.equal(true);
    expect(isWaiting(1_009)).to.equal(true);
    expect(isWaiting(1_010)).to.equal(false);
    recordStart(order, queued, 1_010);
    expect(isWaiting(1_040)).to.equal(true);
    const fits = { ...plan, lacksSpace: undefined };
    expect(order.isWaitingForSpace("e", fits, POOL, space, 1_040))
      .to.equal(false);
  });
});
