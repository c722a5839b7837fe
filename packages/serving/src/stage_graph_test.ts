import { expect } from "chai";
import { buildService, POOL } from "./_fixtures.ts";
import { type PieceResult, StageGraph } from "./stage_graph.ts";

/** A chain of three stages and a parallel branch with large results. */
function buildGraph(pieceCounts: readonly number[]): StageGraph {
  return new StageGraph({
    stages: [
      { service: "roster", after: [], resultBytes: 3_000_000 },
      { service: "roster", after: [], resultBytes: 8_000 },
      { service: "ledger", after: [1], resultBytes: 60_000 },
      { service: "archive", after: [2], resultBytes: 6_000 },
    ],
    pieceCounts,
    services: new Map(
      ["roster", "ledger", "archive"].map((name) => [
        name,
        buildService(name, { pool: POOL }),
      ]),
    ),
  });
}

function buildResults(stage: number, count: number): PieceResult[] {
  return Array.from({ length: count }, (_, piece) => ({
    handle: `h${stage}.${piece}`,
    zone: piece % 2 === 0 ? "a" : "b",
  }));
}

describe("StageGraph", () => {
  // Large results made at the start occupy their endpoint's limited space until the
  // parallel chain is done, and nothing else fits there meanwhile.
  it("starts a short branch only when the chain's last stage can start", () => {
    const graph = buildGraph([2, 1, 6, 16]);
    const starts = () => graph.startStages().map((start) => start.stage);
    expect(starts()).to.deep.equal([1]);
    graph.recordResults(1, buildResults(1, 1));
    expect(starts()).to.deep.equal([2]);
    graph.recordResults(2, buildResults(2, 6));
    expect(starts()).to.deep.equal([0, 3]);
  });

  // A forecast at the result of a short branch that leaves out the parallel chain
  // counts the time of that chain as its error.
  it("gives the time of the remaining stages, with waits", () => {
    const graph = buildGraph([2, 1, 6, 16]);
    const stageMs = graph.getRemainingMs() / 3;
    graph.startStages();
    graph.recordResults(1, buildResults(1, 1));
    expect(graph.getRemainingMs()).to.be.closeTo(2 * stageMs, 1e-9);
    expect(graph.getRemainingMs((stage) => stage * 100))
      .to.be.closeTo(2 * stageMs + 500, 1e-9);
    graph.recordResults(0, buildResults(0, 2));
    expect(graph.getRemainingMs()).to.be.closeTo(2 * stageMs, 1e-9);
    for (const stage of [2, 3]) graph.recordResults(stage, []);
    expect(graph.getRemainingMs()).to.equal(0);
  });

  // Under overload calls are full; due times that assume less are too late.
  it("expects calls of the given fill", () => {
    const build = (callFill?: number) =>
      new StageGraph({
        stages: [{ service: "roster", after: [], resultBytes: 1 }],
        pieceCounts: [1],
        services: new Map([["roster", buildService("roster", { pool: POOL })]]),
        callFill,
      }).getExpectedMs();
    expect(build(1)).to.equal(POOL.callMs + POOL.batchSize * POOL.pieceMs);
    expect(build(1)).to.be.above(build());
  });

  it("starts a stage without parallel stages at once", () => {
    const graph = buildGraph([3, 0, 0, 0]);
    expect(graph.startStages().map((start) => start.stage)).to.deep.equal([0]);
  });

  it("passes all results of the previous stages to a stage", () => {
    const graph = buildGraph([0, 1, 2, 3]);
    graph.startStages();
    graph.recordResults(1, buildResults(1, 1));
    const [start] = graph.startStages();
    expect(start).to.deep.include({
      stage: 2,
      pieces: 2,
      inputs: ["h1.0"],
      inputBytes: { a: 8_000 },
      isLast: false,
    });
  });

  it("names the stage that made the inputs if no other stage reads them", () => {
    const graph = buildGraph([0, 1, 2, 3]);
    expect(graph.startStages()[0]?.inputStage).to.equal(undefined);
    graph.recordResults(1, buildResults(1, 1));
    expect(graph.startStages()[0]?.inputStage).to.equal(1);
    const shared = new StageGraph({
      stages: [
        { service: "roster", after: [], resultBytes: 1 },
        { service: "ledger", after: [0], resultBytes: 1 },
        { service: "archive", after: [0], resultBytes: 1 },
      ],
      pieceCounts: [1, 1, 1],
      services: new Map(),
    });
    shared.startStages();
    shared.recordResults(0, buildResults(0, 1));
    expect(shared.startStages().map((start) => start.inputStage))
      .to.deep.equal([undefined, undefined]);
  });

  it("returns results for release once their last reader is done", () => {
    const graph = buildGraph([0, 1, 2, 3]);
    graph.startStages();
    graph.recordResults(1, buildResults(1, 1));
    expect(graph.getReleasableHandles(1)).to.deep.equal([]);
    graph.startStages();
    graph.recordResults(2, buildResults(2, 2));
    expect(graph.getReleasableHandles(2)).to.deep.equal(["h1.0"]);
  });

  it("returns what no stage reads, and its bytes by zone", () => {
    const graph = buildGraph([1, 1, 1, 2]);
    [1, 2, 3, 0].forEach((stage) => {
      graph.startStages();
      graph.recordResults(stage, buildResults(stage, stage === 3 ? 2 : 1));
    });
    expect(graph.isDone).to.equal(true);
    expect(graph.getFinalResults().map((result) => result.handle)).to.deep
      .equal([
        "h0.0",
        "h3.0",
        "h3.1",
      ]);
    expect(graph.getFinalBytes()).to.deep.equal({ a: 3_006_000, b: 6_000 });
  });
});
