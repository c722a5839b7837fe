import { expect } from "chai";
import { buildQueued } from "./_fixtures.ts";
import { isGivenUp, type QueuedGroup, rankQueue } from "./piece_queue.ts";

function rank(queue: readonly QueuedGroup[]): string[] {
  return rankQueue(queue, 0).map(({ group }) => group.requestId);
}

describe("rankQueue", () => {
  it("puts what is due first in front", () => {
    const queue = [
      buildQueued({ requestId: "later", dueAt: 900 }),
      buildQueued({ requestId: "sooner", dueAt: 300 }),
    ];
    expect(rank(queue)).to.deep.equal(["sooner", "later"]);
  });

  // After a burst some requests are late already. Served first, they make all
  // that follow late too, and nobody is served in time any more.
  it("puts what can be in time before what is late", () => {
    const queue = [
      buildQueued({ requestId: "late", dueAt: -1 }),
      buildQueued({ requestId: "inTime", dueAt: 700 }),
    ];
    expect(rank(queue)).to.deep.equal(["inTime", "late"]);
  });

  // All but one stage of a request are done when its objective passes. Its last
  // pieces waited 5.8 s behind new requests, its results held room in two pools
  // meanwhile, and its caller left with nothing.
  it("finishes what was worked for before it starts anything new", () => {
    const queue = [
      buildQueued({ requestId: "new", dueAt: 900 }),
      buildQueued({ requestId: "invested", dueAt: -900, isInvested: true }),
    ].map((one) => ({ ...one, queuedAt: -800 }));
    expect(rank(queue)).to.deep.equal(["invested", "new"]);
  });

  it("lets what can be in time go before late work, but not for long", () => {
    const late = buildQueued({
      requestId: "late",
      dueAt: -900,
      isInvested: true,
    });
    const inTime = buildQueued({ requestId: "inTime", dueAt: 900 });
    const later = buildQueued({ requestId: "later", dueAt: 1_900 });
    expect(rank([late, inTime])).to.deep.equal(["inTime", "late"]);
    expect(rank([late, later])).to.deep.equal(["late", "later"]);
  });

  it("gives a more urgent request a head start", () => {
    const queue = [
      buildQueued({ requestId: "lesser", rank: 2, dueAt: 500 }),
      buildQueued({ requestId: "urgent", rank: 0, dueAt: 700 }),
      buildQueued({ requestId: "next", rank: 1, dueAt: 100 }),
    ];
    expect(rank(queue)).to.deep.equal(["next", "urgent", "lesser"]);
  });

  // Two of a request's three pieces are made and one has to be made again. Behind
  // all that is new it waits for a second, and the two hold their room as long.
  it("finishes a group before it starts another", () => {
    const started = buildQueued({ requestId: "started", dueAt: 900 });
    const queue = [
      buildQueued({ requestId: "new", dueAt: 100 }),
      { ...started, madeIn: "a" },
    ];
    expect(rank(queue)).to.deep.equal(["started", "new"]);
  });
});

describe("isGivenUp", () => {
  // Six of a request's nine pieces were made, the other three waited for the next
  // call, and the request was given up between the two: a call in vain.
  it("keeps a group that has been started while its caller waits", () => {
    const queued = buildQueued({ giveUpAt: 800, expiresAt: 5_000 });
    expect(isGivenUp(queued, 700)).to.equal(false);
    expect(isGivenUp(queued, 900)).to.equal(true);
    expect(isGivenUp({ ...queued, madeIn: "a" }, 900)).to.equal(false);
    expect(isGivenUp({ ...queued, madeIn: "a" }, 5_100)).to.equal(true);
  });
});
