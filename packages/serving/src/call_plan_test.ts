import { expect } from "chai";
import * as fc from "fast-check";
import { buildQueued, POOL } from "./_fixtures.ts";
import { type CallPlan, type EndpointCapacity, planCall } from "./call_plan.ts";
import { type QueuedGroup, rankQueue } from "./piece_queue.ts";

const CAPACITY = 1_000_000;
const ENDPOINT: EndpointCapacity = {
  endpointId: "e1",
  zone: "a",
  freeBytes: CAPACITY,
  maxPieces: POOL.batchSize,
};

function plan(queue: readonly QueuedGroup[], more = {}): CallPlan {
  return planCall({
    ranked: rankQueue(queue, 0),
    pool: POOL,
    endpoint: ENDPOINT,
    otherEndpoints: [],
    capacityBytes: CAPACITY,
    poolZones: new Set(["a", "b"]),
    now: 0,
    ...more,
  });
}

function countPieces(
  entries: readonly {
    readonly queued: QueuedGroup;
    readonly pieces: readonly number[];
  }[],
): [string, number][] {
  return entries.map((entry) => [
    entry.queued.group.requestId,
    entry.pieces.length,
  ]);
}

function planPieces(queue: readonly QueuedGroup[], more = {}) {
  return countPieces(plan(queue, more).pieces);
}

describe("planCall", () => {
  it("fills a call and reserves space for the rest of its last group", () => {
    const queue = [
      buildQueued({ requestId: "later", dueAt: 900, pieces: 6 }),
      buildQueued({ requestId: "sooner", dueAt: 300, pieces: 6 }),
    ];
    const { pieces, reservations } = plan(queue);
    expect(countPieces(pieces)).to.deep.equal([["sooner", 6], ["later", 4]]);
    expect(countPieces(reservations)).to.deep.equal([["later", 2]]);
    expect(reservations[0]?.endpointId).to.equal("e1");
  });

  // In a burst every call splits a group. If the rest waited for the end of the
  // same call while other endpoints become idle, each stage would take two calls'
  // time.
  it("leaves the rest of a group to the next endpoint of the zone", () => {
    const queue = [
      buildQueued({ requestId: "first", dueAt: 300, pieces: 6 }),
      buildQueued({ requestId: "second", dueAt: 900, pieces: 6 }),
    ];
    const sameZone = { ...ENDPOINT, endpointId: "e2" };
    const { pieces, reservations } = plan(queue, {
      otherEndpoints: [sameZone],
    });
    expect(countPieces(pieces)).to.deep.equal([["first", 6], ["second", 4]]);
    expect(reservations).to.deep.equal([]);
    for (
      const other of [{ ...sameZone, zone: "b" }, { ...sameZone, freeBytes: 0 }]
    ) {
      const kept = plan(queue, { otherEndpoints: [other] }).reservations;
      expect(countPieces(kept)).to.deep.equal([["second", 2]]);
    }
  });

  // Pieces whose results don't fit come back empty after the whole call: without
  // the check, 35,249 of 38,198 pieces of one pool did.
  it("sends only pieces whose results fit, and smaller ones instead", () => {
    const queue = [
      buildQueued({
        requestId: "large",
        dueAt: 500,
        pieces: 3,
        resultBytes: 400_000,
      }),
      buildQueued({ requestId: "small", dueAt: 900, resultBytes: 1_000 }),
    ];
    expect(planPieces(queue)).to.deep.equal([["small", 4]]);
  });

  // Three requests of three large pieces compete for an endpoint with space for
  // eight. Started piecemeal, each makes two or three and waits for space that the
  // others free only when they are complete: none finishes for four seconds, until
  // the results expire, and small requests of the same pool are rejected meanwhile.
  it("starts a group only if all its pieces have space", () => {
    const queue = ["one", "two", "three"].map((requestId) =>
      buildQueued({ requestId, dueAt: 900, pieces: 3, resultBytes: 125_000 })
    );
    const { pieces, reservations } = plan(queue);
    expect(countPieces(pieces)).to.deep.equal([["one", 3], ["two", 3]]);
    expect(reservations).to.deep.equal([]);
  });

  it("runs pieces with reserved space before it starts any group", () => {
    const reserved = buildQueued({ requestId: "reserved", dueAt: 2_000 });
    reserved.waiting.splice(2);
    reserved.reserved.set("e1", [2, 3]);
    const queue = [
      buildQueued({ requestId: "sooner", dueAt: 300, pieces: 10 }),
      reserved,
    ];
    expect(planPieces(queue)[0]).to.deep.equal(["reserved", 2]);
  });

  it("spreads a group that exceeds one endpoint's space", () => {
    const queue = [
      buildQueued({ dueAt: 900, pieces: 10, resultBytes: 125_000 }),
    ];
    const other = { ...ENDPOINT, endpointId: "e2", freeBytes: 500_000 };
    expect(plan(queue)).to.deep.equal({ pieces: [], reservations: [] });
    const { pieces, reservations } = plan(queue, { otherEndpoints: [other] });
    expect(countPieces(pieces)).to.deep.equal([["r1", 8]]);
    expect(reservations.map((entry) => [entry.endpointId, entry.pieces]))
      .to.deep.equal([["e2", [8, 9]]]);
  });

  // A request needs space for five results. Single-piece requests took each place
  // as it was freed, so the large one was rejected when it was late: on a busy day
  // no request of more than four pieces was served.
  it("keeps space for a group that is nearly late", () => {
    const endpoint = { ...ENDPOINT, freeBytes: 400_000 };
    const build = (dueAt: number) => [
      buildQueued({
        requestId: "large",
        dueAt,
        pieces: 5,
        resultBytes: 100_000,
      }),
      buildQueued({
        requestId: "one",
        dueAt: 950,
        pieces: 1,
        resultBytes: 100_000,
      }),
      buildQueued({ requestId: "tiny", dueAt: 960, pieces: 1 }),
    ];
    expect(planPieces(build(900), { endpoint }))
      .to.deep.equal([["one", 1], ["tiny", 1]]);
    expect(planPieces(build(200), { endpoint })).to.deep.equal([["tiny", 1]]);
    const otherEndpoint = { ...ENDPOINT, endpointId: "e2", freeBytes: 450_000 };
    expect(
      planPieces(build(200), { endpoint, otherEndpoints: [otherEndpoint] }),
    )
      .to.deep.equal([["one", 1], ["tiny", 1]]);
  });

  describe("with lanes", () => {
    const buildQueue = () => [
      buildQueued({
        requestId: "first",
        dueAt: 200,
        pieces: 5,
        resultBytes: 30_000,
      }),
      buildQueued({
        requestId: "second",
        dueAt: 210,
        pieces: 3,
        resultBytes: 30_000,
      }),
    ];
    const endpoint = { ...ENDPOINT, freeBytes: 100_000 };

    // At a pool that is short of space calls were 0.8 full while 70 to 90 groups
    // waited: each group that was nearly late and didn't fit stopped the others.
    it("starts groups that fit behind a nearly late one of usual size", () => {
      const spaceRule = { kind: "lanes", deferred: new Set() };
      const queue = buildQueue();
      expect(planPieces(queue, { endpoint })).to.deep.equal([]);
      expect(planPieces(queue, { endpoint, spaceRule }))
        .to.deep.equal([["second", 3]]);
      expect(plan(queue, { endpoint, spaceRule }).lacksSpace)
        .to.equal(queue[0]);
    });

    it("still keeps space for a nearly late group that is large", () => {
      const spaceRule = { kind: "lanes", deferred: new Set() };
      const large = buildQueued({ dueAt: 200, pieces: 8, resultBytes: 40_000 });
      expect(planPieces([large, buildQueue()[1]!], { endpoint, spaceRule }))
        .to.deep.equal([]);
    });

    // A deferred group would take the space for which a group on time waits.
    it("starts no deferred group of usual size while one on time lacks space", () => {
      const queue = buildQueue();
      const spaceRule = { kind: "lanes", deferred: new Set([queue[1]]) };
      const tiny = buildQueued({ requestId: "tiny", dueAt: 900, pieces: 1 });
      spaceRule.deferred.add(tiny);
      expect(planPieces([...queue, tiny], { endpoint, spaceRule }))
        .to.deep.equal([["tiny", 1]]);
      const roomy = { ...ENDPOINT, freeBytes: 300_000 };
      expect(planPieces(queue, { endpoint: roomy, spaceRule }))
        .to.deep.equal([["first", 5], ["second", 3]]);
    });
  });

  it("waits for the zone that stores large inputs while there is time", () => {
    const queue = [buildQueued({ localBytes: { b: 5_000_000 }, dueAt: 900 })];
    expect(planPieces(queue)).to.deep.equal([]);
    expect(planPieces(queue, { now: 750 })).to.deep.equal([["r1", 4]]);
    expect(planPieces(queue, { poolZones: new Set(["a"]) })).to.deep.equal([
      ["r1", 4],
    ]);
  });

  it("keeps the rest of a split group in the zone of its first pieces", () => {
    const queue = [{ ...buildQueued({ dueAt: 900 }), startedIn: "b" }];
    expect(planPieces(queue)).to.deep.equal([]);
    expect(planPieces(queue, { endpoint: { ...ENDPOINT, zone: "b" } }))
      .to.have.length(1);
  });

  it("sends a probed endpoint no more pieces than its limit", () => {
    const queue = [buildQueued({ pieces: 8 })];
    const endpoint = { ...ENDPOINT, maxPieces: 2 };
    const otherEndpoints = [{ ...ENDPOINT, endpointId: "e2" }];
    const { pieces, reservations } = plan(queue, { endpoint, otherEndpoints });
    expect(countPieces(pieces)).to.deep.equal([["r1", 2]]);
    expect(reservations.map((entry) => [entry.endpointId, entry.pieces.length]))
      .to.deep.equal([["e2", 6]]);
  });

  // Random queues and free space: every plan fits, and groups start completely.
  it("starts no group whose rest has no space, and splits one at most", () => {
    const group = fc.record({
      pieces: fc.integer({ min: 1, max: 12 }),
      resultBytes: fc.integer({ min: 1, max: 400_000 }),
      dueAt: fc.integer({ min: -500, max: 2_000 }),
    });
    const free = fc.integer({ min: 0, max: CAPACITY });
    const schedule = fc.tuple(fc.array(group, { maxLength: 12 }), free, free);
    fc.assert(
      fc.property(schedule, ([groups, own, other]) => {
        const queue = groups.map((more, i) =>
          buildQueued({ ...more, requestId: `r${i}` })
        );
        const result = plan(queue, {
          endpoint: { ...ENDPOINT, freeBytes: own },
          otherEndpoints: [{ ...ENDPOINT, endpointId: "e2", freeBytes: other }],
        });
        const used: Record<string, number> = { e1: 0, e2: 0 };
        const counts = new Map<QueuedGroup, number>();
        const add = (endpointId: string, { queued, pieces }: {
          queued: QueuedGroup;
          pieces: readonly number[];
        }) => {
          used[endpointId]! += pieces.length * queued.group.resultBytes;
          counts.set(queued, (counts.get(queued) ?? 0) + pieces.length);
        };
        result.pieces.forEach((entry) => add("e1", entry));
        result.reservations.forEach((entry) => add(entry.endpointId, entry));
        expect(used.e1).to.be.at.most(own);
        expect(used.e2).to.be.at.most(other);
        const split = [...counts].filter(([queued, count]) =>
          count !== queued.group.pieces
        );
        expect(split.length).to.be.at.most(1);
        for (const [queued, count] of split) {
          const rest = queued.group.pieces - count;
          const called = result.pieces.flatMap((entry) => entry.pieces).length;
          expect(called).to.equal(POOL.batchSize);
          expect(rest * queued.group.resultBytes)
            .to.be.at.most(other - used.e2!);
        }
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
