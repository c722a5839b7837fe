import { expect } from "chai";
import { GivenHandles } from "./given_handles.ts";

const KEEP_MS = 10_000;

function buildHandle(handle: string, piece: number) {
  return { handle, requestId: "r1", stage: 0, piece };
}

describe("GivenHandles", () => {
  it("knows the handles of an earlier call", () => {
    const given = new GivenHandles();
    expect(given.record([buildHandle("a", 0), buildHandle("b", 1)], 0))
      .to.equal(true);
    expect(given.record([buildHandle("c", 2), buildHandle("b", 3)], 1))
      .to.equal(false);
    // The handle that the rejected answer gave as well is still unknown.
    expect(given.record([buildHandle("c", 4)], 2)).to.equal(true);
  });

  it("accepts a handle that is given again for the same piece", () => {
    const given = new GivenHandles();
    given.record([buildHandle("a", 0)], 0);
    expect(given.record([buildHandle("a", 0)], KEEP_MS - 1)).to.equal(true);
    expect(given.record([buildHandle("a", 1)], KEEP_MS + 1)).to.equal(false);
  });

  it("forgets handles after a time", () => {
    const given = new GivenHandles();
    given.record([buildHandle("a", 0)], 0);
    expect(given.record([buildHandle("a", 1)], KEEP_MS)).to.equal(true);
  });
});
