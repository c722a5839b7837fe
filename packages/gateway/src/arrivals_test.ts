import { expect } from "chai";
import { waitForArrivals, waitWhile } from "./arrivals.ts";

const LATER_MS = 5_000;

/** Accepts a connection in each of the next turns of the event loop. */
function buildAcceptCounter(turns: number): () => number {
  let accepted = 0;
  const accept = () => {
    if (accepted === turns) return;
    accepted += 1;
    setImmediate(accept);
  };
  setImmediate(accept);
  return () => accepted;
}

describe("arrivals", () => {
  it("are waited for until a turn accepts no connection", async () => {
    const countAccepted = buildAcceptCounter(3);
    const until = performance.now() + LATER_MS;
    await waitForArrivals({ countAccepted, until });
    expect(countAccepted()).to.equal(3);
  });

  // A flood of connections would keep a process from its exit.
  it("are waited for until a time at most", async () => {
    const countAccepted = buildAcceptCounter(100);
    await waitForArrivals({ countAccepted, until: performance.now() });
    expect(countAccepted()).to.be.at.most(2);
  });

  // What had arrived during a pause was not seen by the last check.
  it("are read before a condition counts as over", async () => {
    const countAccepted = buildAcceptCounter(3);
    const until = performance.now() + LATER_MS;
    const calls: boolean[] = [];
    await waitWhile(() => {
      const isTrue = countAccepted() === 3 && calls.length < 3;
      calls.push(isTrue);
      return isTrue;
    }, { countAccepted, until });
    expect(calls).to.deep.equal([false, true, true, false, false]);
  });
});
