import { expect } from "chai";
import { FACTS_STALE_MS, isAhead, mayReadRegistry } from "./registry_reader.ts";

describe("mayReadRegistry", () => {
  it("reads as the first of its zone, and hears of it otherwise", () => {
    expect(mayReadRegistry(0, 0)).to.equal(true);
    expect(mayReadRegistry(1, FACTS_STALE_MS)).to.equal(false);
    expect(mayReadRegistry(1, FACTS_STALE_MS + 1)).to.equal(true);
  });

  // The reader of a zone is cut off from the registry. If its neighbours all took
  // over at once, 16 of them would read; if none did, a worker that leaves would
  // get requests until it exits.
  it("takes over one after the other, and all well within two seconds", () => {
    const takeover = [1, 2, 3, 9].map((rank) => {
      const ages = Array.from({ length: 2_000 }, (_, ageMs) => ageMs);
      return ages.find((ageMs) => mayReadRegistry(rank, ageMs))!;
    });
    expect(takeover).to.deep.equal([1_251, 1_401, 1_551, 1_551]);
  });

  it("compares every topic", () => {
    const own = { operatorPosition: 3, endpointPosition: 5, memberPosition: 1 };
    expect(isAhead(own, own)).to.equal(false);
    expect(isAhead({ ...own, memberPosition: 2 }, own)).to.equal(true);
    expect(isAhead({ ...own, memberPosition: 0 }, own)).to.equal(false);
  });
});
