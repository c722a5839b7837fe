import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  CAPACITY,
  createLaneOrder,
  type Order,
  runBurst,
  type Source,
  type SourceResult,
} from "./_burst.ts";

const DURATION_MS = 12_000;
const OFFERED = CAPACITY * DURATION_MS / 1_000;

function buildSource(name: string, more: Partial<Source> = {}): Source {
  return {
    name,
    rank: 0,
    customer: "one",
    offered: CAPACITY,
    pieces: 2,
    timeoutMs: 5_000,
    ...more,
  };
}

function getInTimeShare({ inTime, late, expired }: SourceResult): number {
  return inTime / (inTime + late + expired);
}

const serveByDueTime: Order = (queue) =>
  [...queue].sort((a, b) => a.dueAt - b.dueAt);

// Each test offers more than the pool can serve on time.
describe("a pool under overload", () => {
  // Served by due time alone, all groups age past their due times together.
  it("serves in time what it can serve in time", () => {
    const sources = [buildSource("all", { offered: 1.4 * CAPACITY })];
    const { all } = runBurst(sources, DURATION_MS, createLaneOrder());
    const byDueTime = runBurst(sources, DURATION_MS, serveByDueTime);
    expect(all!.inTime / OFFERED).to.be.at.least(0.9);
    expect(byDueTime.all!.inTime / OFFERED).to.be.at.most(0.5);
  });

  // Requests of the least urgent route got through, late, while urgent ones failed.
  it("defers less urgent routes first", () => {
    const sources = [
      buildSource("urgent", { offered: 0.8 * CAPACITY }),
      buildSource("usual", {
        offered: 0.8 * CAPACITY,
        rank: 3,
        timeoutMs: 15_000,
      }),
    ];
    const { urgent, usual } = runBurst(
      sources,
      DURATION_MS,
      createLaneOrder(),
    );
    expect(getInTimeShare(urgent!)).to.be.at.least(0.98);
    expect(usual!.inTime).to.be.greaterThan(0.1 * OFFERED);
  });

  it("gives callers of three routes what is recorded", function () {
    const sources = [
      buildSource("urgent", { offered: 0.6 * CAPACITY }),
      buildSource("batches", { offered: 0.4 * CAPACITY, pieces: 5, rank: 1 }),
      buildSource("usual", {
        offered: 0.4 * CAPACITY,
        rank: 3,
        timeoutMs: 15_000,
      }),
    ];
    expectSnapshot(this, runBurst(sources, DURATION_MS, createLaneOrder()));
  });

  // Late urgent groups at their last chance precede less urgent groups on time.
  it("serves late urgent groups before less urgent ones", () => {
    const sources = [
      buildSource("urgent", { offered: 1.2 * CAPACITY }),
      buildSource("usual", { offered: 0.5 * CAPACITY, rank: 3 }),
    ];
    const { urgent, usual } = runBurst(
      sources,
      DURATION_MS,
      createLaneOrder(),
    );
    expect(urgent!.inTime / OFFERED).to.be.at.least(0.9);
    expect(usual!.inTime).to.be.at.most(0.05 * OFFERED);
  });

  // A large customer of one rank takes what small ones ask for.
  it("gives small customers all they ask for before a large one", () => {
    const small = ["a", "b", "c"].map((name) =>
      buildSource(name, { customer: name, offered: 0.1 * CAPACITY })
    );
    const large = buildSource("large", {
      customer: "large",
      offered: 1.5 * CAPACITY,
    });
    const results = runBurst([...small, large], DURATION_MS, createLaneOrder());
    for (const { name } of small) {
      expect(getInTimeShare(results[name]!)).to.be.at.least(0.95);
    }
    expect(results.large!.inTime).to.be.at.least(0.55 * OFFERED);
  });

  // With the largest group deferred first, small requests got through and large ones
  // did not.
  it("serves large requests as often as small ones", () => {
    const sources = [
      buildSource("small", { offered: 0.7 * CAPACITY, pieces: 1 }),
      buildSource("large", { offered: 0.7 * CAPACITY, pieces: 5 }),
    ];
    const { small, large } = runBurst(sources, DURATION_MS, createLaneOrder());
    expect(getInTimeShare(large!) / getInTimeShare(small!))
      .to.be.within(0.9, 1.1);
    expect((small!.inTime + large!.inTime) / OFFERED).to.be.at.least(0.9);
  });

  // Counted by requests, a customer with large requests gets a multiple of the work.
  it("shares work, not requests, between two large customers", () => {
    const sources = [
      buildSource("single", { customer: "single", pieces: 1 }),
      buildSource("batches", { customer: "batches", pieces: 5 }),
    ];
    const { single, batches } = runBurst(
      sources,
      DURATION_MS,
      createLaneOrder(),
    );
    expect(single!.inTime / batches!.inTime).to.be.within(0.8, 1.25);
  });
});
