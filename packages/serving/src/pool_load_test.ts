import { expect } from "chai";
import { buildQueued, POOL } from "./_fixtures.ts";
import type { QueuedGroup } from "./piece_queue.ts";
import {
  estimateLoad,
  type EstimateLoadOptions,
  getExpectedWait,
  type GroupDemand,
  isShortOfSpace,
  UNKNOWN_LOAD,
} from "./pool_load.ts";

const IDLE: EstimateLoadOptions = {
  queue: [],
  pool: POOL,
  endpoints: 2,
  freeBytes: [1_000_000, 1_000_000],
  freedBytesPerMs: 4_000,
  now: 0,
};
const DEMAND: GroupDemand = {
  rank: 0,
  pieces: 4,
  resultBytes: 1_000,
  isLate: false,
};

function wait(
  options: Partial<EstimateLoadOptions>,
  demand: Partial<GroupDemand> = {},
): number {
  const load = estimateLoad({ ...IDLE, ...options });
  return getExpectedWait(load, { ...DEMAND, ...demand });
}

describe("estimateLoad", () => {
  it("reports longer waits for less urgent requests", () => {
    const queue = [
      buildQueued({ rank: 0, pieces: 20 }),
      buildQueued({ rank: 2, pieces: 20 }),
    ];
    const waits = [0, 1, 2, 3, 9].map((rank) => wait({ queue }, { rank }));
    expect(waits).to.deep.equal([250, 250, 500, 500, 500]);
  });

  it("reports at least the time that the oldest group has waited", () => {
    const queue = [buildQueued({ pieces: 1, dueAt: 900 })];
    expect(wait({ queue, endpoints: 4, now: 800 })).to.equal(800);
  });

  // A caller's return waits long by its due time while new groups pass it.
  it("reports no wait of a single group where the queue is served in lanes", () => {
    const queue = [buildQueued({ pieces: 1, dueAt: 5_000 })];
    const isKeptOnTime = () => true;
    expect(wait({ queue, isKeptOnTime, endpoints: 4, now: 800 }))
      .to.be.below(100);
  });

  it("reports no wait if nothing is queued or nothing is known", () => {
    expect(wait({})).to.equal(0);
    expect(getExpectedWait(UNKNOWN_LOAD, DEMAND)).to.equal(0);
  });

  // Large results fill a pool: ten of their groups wait for a second, and its
  // endpoints are idle half of the time. With a single wait for all sizes, a
  // request with small results is rejected although it would be done in one call.
  it("reports no wait for small results while large ones don't fit", () => {
    const queue = Array.from(
      { length: 10 },
      () => buildQueued({ resultBytes: 300_000, pieces: 2, dueAt: 1_500 }),
    );
    const freeBytes = [200_000, 100_000];
    const now = 1_000;
    expect(wait({ queue, freeBytes, now })).to.equal(0);
    expect(wait({ queue, freeBytes, now }, { resultBytes: 300_000 }))
      .to.be.at.least(1_000);
  });

  it("reports the wait for space, which grows with the pieces", () => {
    const queue = [buildQueued({ resultBytes: 400_000, pieces: 4 })];
    const demand = { resultBytes: 400_000 };
    const free = [400_000, 0];
    expect(wait({ queue, freeBytes: free }, { ...demand, pieces: 1 }))
      .to.equal(400);
    expect(wait({ queue, freeBytes: free }, { ...demand, pieces: 5 }))
      .to.equal(800);
    expect(wait({ queue, freeBytes: free, freedBytesPerMs: 0 }, demand))
      .to.equal(60_000);
  });

  it("reports when results of a size are short of space", () => {
    const queue = [buildQueued({ resultBytes: 400_000, pieces: 4 })];
    const isShort = (freeBytes: readonly number[], size: number) =>
      isShortOfSpace(estimateLoad({ ...IDLE, queue, freeBytes }), size);
    expect(isShort([400_000, 0], 400_000)).to.equal(true);
    expect(isShort([1_000_000, 800_000], 400_000)).to.equal(false);
    expect(isShort([400_000, 0], 1_000)).to.equal(false);
  });

  // Deferred groups are served after a new one that can be on time. Counted in its
  // wait, they would refuse requests that the pool can serve.
  it("counts only groups kept on time if they are planned, late all", () => {
    const queue = [
      buildQueued({ requestId: "kept", pieces: 20 }),
      buildQueued({ requestId: "deferred", pieces: 20, isInvested: true }),
    ];
    const isKeptOnTime = ({ group }: QueuedGroup) => group.requestId === "kept";
    expect(wait({ queue, isKeptOnTime })).to.equal(250);
    expect(wait({ queue, isKeptOnTime }, { isLate: true })).to.equal(500);
    queue[1]!.startedIn = "a";
    expect(wait({ queue, isKeptOnTime })).to.equal(500);
  });

  // Sixty groups were late and waited for a stalled pool. Only groups that could be
  // on time were counted, so the pool reported no queue, and for five seconds each
  // new request was accepted, held and dropped.
  it("counts late groups with completed work", () => {
    const late = { dueAt: -3_000, isInvested: true, pieces: 20 };
    const queue = [buildQueued(late), buildQueued(late)];
    expect(wait({ queue })).to.equal(500);
    const abandoned = [buildQueued({ dueAt: -3_000, pieces: 20 })];
    expect(wait({ queue: abandoned })).to.equal(0);
    expect(wait({ queue: abandoned }, { isLate: true })).to.equal(250);
  });
});
