import { expect } from "chai";
import { buildService, POOL } from "./_fixtures.ts";
import { type PieceResult, StageGraph } from "./stage_graph.ts";

/** A chain of three stages with a branch of large results beside it. */
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
  // Large results that are made at once lie in their endpoint's little room until
  // the chain beside them is done, and nothing else fits there meanwhile.
  it("starts a short branch only when the chain's last stage can start", () => {
    const graph = buildGraph([2, 1, 6, 16]);
    const starts = () => graph.startStages().map((one) => one.stage);
    expect(starts()).to.deep.equal([1]);
    graph.recordResults(1, buildResults(1, 1));
    expect(starts()).to.deep.equal([2]);
    graph.recordResults(2, buildResults(2, 6));
    expect(starts()).to.deep.equal([0, 3]);
  });

  it("starts a stage that stands alone at once", () => {
    const graph = buildGraph([3, 0, 0, 0]);
    expect(graph.startStages().map((one) => one.stage)).to.deep.equal([0]);
  });

  it("gives a stage all results of the stages before it", () => {
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

  it("names the one stage that made the inputs if nobody else reads them", () => {
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
    expect(shared.startStages().map((one) => one.inputStage))
      .to.deep.equal([undefined, undefined]);
  });

  it("gives results up once their last reader is done", () => {
    const graph = buildGraph([0, 1, 2, 3]);
    graph.startStages();
    graph.recordResults(1, buildResults(1, 1));
    expect(graph.getFinished(1)).to.deep.equal([]);
    graph.startStages();
    graph.recordResults(2, buildResults(2, 2));
    expect(graph.getFinished(2)).to.deep.equal(["h1.0"]);
  });

  it("gives the request what no stage reads, and where it lies", () => {
    const graph = buildGraph([1, 1, 1, 2]);
    [1, 2, 3, 0].forEach((stage) => {
      graph.startStages();
      graph.recordResults(stage, buildResults(stage, stage === 3 ? 2 : 1));
    });
    expect(graph.isDone).to.equal(true);
    expect(graph.getFinalResults().map((one) => one.handle)).to.deep.equal([
      "h0.0",
      "h3.0",
      "h3.1",
    ]);
    expect(graph.getFinalBytes()).to.deep.equal({ a: 3_006_000, b: 6_000 });
  });
});
