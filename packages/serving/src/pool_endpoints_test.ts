import { expect } from "chai";
import { PoolEndpoints } from "./pool_endpoints.ts";

const IDS = ["e1", "e2", "e3"];

function runCall(
  pool: PoolEndpoints,
  id: string,
  call: { readonly at: number; readonly tookMs: number },
): void {
  pool.recordStart(id);
  pool.recordEnd(id, call.at + call.tookMs, {
    tookMs: call.tookMs,
    expectedMs: 250,
    isAnswered: true,
  });
}

describe("PoolEndpoints", () => {
  it("gives each endpoint one call at a time, the longest idle first", () => {
    const pool = new PoolEndpoints();
    runCall(pool, "e1", { at: 0, tookMs: 250 });
    pool.recordStart("e2");
    expect(pool.getIdle(IDS, 300).map((endpoint) => endpoint.id)).to.deep.equal(
      [
        "e3",
        "e1",
      ],
    );
  });

  // One of three endpoints becomes five times slower. Full calls to it are late
  // although the other two can bear the load.
  it("gives a slow endpoint small probe calls periodically", () => {
    const pool = new PoolEndpoints();
    runCall(pool, "e1", { at: 0, tookMs: 1_250 });
    expect(pool.getFast(IDS)).to.have.length(2);
    expect(pool.getIdle(IDS, 1_300).map((endpoint) => endpoint.id)).to.deep
      .equal([
        "e2",
        "e3",
      ]);
    const probe = pool.getIdle(IDS, 2_800).find((endpoint) =>
      endpoint.id === "e1"
    );
    expect(probe).to.deep.equal({ id: "e1", maxPieces: 2 });
    runCall(pool, "e1", { at: 2_800, tookMs: 250 });
    expect(pool.getFast(IDS)).to.have.length(3);
  });

  // The configured duration of a call is approximate. If all endpoints take three
  // times as long, none is slow, and the pool must not fall back to small calls.
  it("compares endpoints with each other, not with the configuration", () => {
    const pool = new PoolEndpoints();
    for (const id of IDS) runCall(pool, id, { at: 0, tookMs: 2_000 });
    expect(pool.getFast(IDS)).to.have.length(3);
    expect(pool.getIdle(IDS, 2_001)).to.deep.equal(IDS.map((id) => ({ id })));
  });

  // Two workers left calls of 150 to 250 ms unanswered for a second each, and got
  // the next full call half a second later, four times in a row.
  it("gives an unresponsive endpoint small calls, a failing one full calls", () => {
    const pool = new PoolEndpoints();
    const end = (id: string, tookMs: number) =>
      pool.recordEnd(id, 0, { tookMs, expectedMs: 250, isAnswered: false });
    end("e1", 1_250);
    end("e2", 2);
    const free = pool.getIdle(IDS, 2_000);
    expect(free).to.deep.equal([
      { id: "e3" },
      { id: "e2" },
      { id: "e1", maxPieces: 2 },
    ]);
  });

  // Endpoints that a VM lost its path to got probes alone for seconds.
  it("takes no call that a lost path broke as the speed of its endpoint", () => {
    const pool = new PoolEndpoints();
    const lost = { tookMs: 1_250, expectedMs: 250, isAnswered: false };
    pool.recordStart("e1");
    pool.recordStart("e2");
    pool.recordEnd("e1", 0, lost);
    for (const id of ["e1", "e2"]) pool.dropSpeed(id);
    pool.recordEnd("e2", 0, lost);
    expect(pool.getFast(IDS)).to.deep.equal(IDS);
    pool.recordStart("e2");
    pool.recordEnd("e2", 0, lost);
    expect(pool.getFast(IDS)).to.deep.equal(["e1", "e3"]);
  });

  it("pauses calls to an endpoint that was full", () => {
    const pool = new PoolEndpoints();
    pool.recordFull("e1", 0);
    expect(pool.getIdle(["e1"], 50)).to.deep.equal([]);
    expect(pool.getIdle(["e1"], 61)).to.have.length(1);
  });
});
