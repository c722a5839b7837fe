import { expect } from "chai";
import { ORDER } from "./_fixtures.ts";
import { getEndpointGroup } from "./answer_counts.ts";
import {
  getSessionFraction,
  isWithinExposureBound,
  pickCanaries,
  pickLoadedCanaries,
} from "./exposure.ts";

const BOUND = { share: 0.1, slack: 50 };

describe("getSessionFraction", () => {
  it("spreads sessions evenly and differs between orders", () => {
    const sessions = Array.from({ length: 2_000 }, (_, i) => `session-${i}`);
    const fractions = sessions.map((session) =>
      getSessionFraction(ORDER, session)
    );
    const low = fractions.filter((fraction) => fraction < 0.06).length;
    expect(low).to.be.within(80, 160);
    const otherOrder = { ...ORDER, target: "v3" };
    expect(getSessionFraction(otherOrder, "session-1")).not.to.equal(
      fractions[1],
    );
  });
});

describe("isWithinExposureBound", () => {
  it("stops short of the operator's bound", () => {
    const sent = { all: 1_000, own: 20, ownTarget: 0 };
    expect(isWithinExposureBound({ ...sent, target: 90 }, BOUND)).to.equal(
      true,
    );
    expect(isWithinExposureBound({ ...sent, target: 106 }, BOUND)).to.equal(
      false,
    );
  });

  // Guards against every VM using up the whole bound while VMs are partitioned.
  it("limits the requests of one VM to a share of its own", () => {
    const sent = { all: 0, target: 0, own: 10 };
    expect(isWithinExposureBound({ ...sent, ownTarget: 1 }, BOUND)).to.equal(
      true,
    );
    expect(isWithinExposureBound({ ...sent, ownTarget: 3 }, BOUND)).to.equal(
      false,
    );
  });
});

describe("pickCanaries", () => {
  const target = Array.from({ length: 42 }, (_, i) => `endpoint-${i}`);

  it("picks fewer endpoints than the present version needs for the share", () => {
    const canaries = pickCanaries({
      order: ORDER,
      target,
      present: 42,
      share: 0.1,
    });
    expect(canaries.size).to.equal(3);
    const groups = new Set([...canaries].map(getEndpointGroup));
    expect(groups.size).to.equal(3);
  });

  it("picks at least two endpoints, or as many as there are", () => {
    const pick = (ids: readonly string[]) =>
      pickCanaries({ order: ORDER, target: ids, present: 5, share: 0.06 }).size;
    expect(pick(target)).to.equal(2);
    expect(pick(target.slice(0, 1))).to.equal(1);
    expect(pick([])).to.equal(0);
  });

  it("doesn't depend on the order of the endpoints", () => {
    const canaries = [
      ...pickCanaries({ order: ORDER, target, present: 42, share: 0.06 }),
    ];
    const reversed = [...target].reverse();
    const fromReversed = pickCanaries({
      order: ORDER,
      target: reversed,
      present: 42,
      share: 0.06,
    });
    expect([...fromReversed].sort()).to.deep.equal([...canaries].sort());
  });
});

describe("pickLoadedCanaries", () => {
  const canaries = new Set(["a", "b", "c", "d"]);
  const pick = (expectedRunning: number, elapsedMs: number) => [
    ...pickLoadedCanaries(canaries, {
      expectedRunning,
      slots: 8,
      elapsedMs,
      durationMs: 8_000,
    }),
  ];

  it("gives each canary the load in its turn", () => {
    const turns = [0, 1_000, 2_000, 3_000, 4_000].map((at) => pick(3, at));
    expect(turns).to.deep.equal([["a"], ["b"], ["c"], ["d"], ["a"]]);
  });

  it("never expects more requests of a canary than half of its slots", () => {
    expect(pick(5, 1_000)).to.deep.equal(["c", "d"]);
    expect(pick(13, 1_000)).to.deep.equal(["a", "b", "c", "d"]);
  });
});
