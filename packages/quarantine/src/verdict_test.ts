import { expect } from "chai";
import type { Crash } from "./mod.ts";
import { findPoison } from "./mod.ts";

const NOBODY: ReadonlySet<string> = new Set();

/** Crashes with their suspects; a number after a name is its run time. */
function buildCrashes(...all: readonly (readonly string[])[]): Crash[] {
  return all.map((suspects, index) => ({
    id: `e${index}`,
    service: "engine",
    at: index,
    isVoid: false,
    suspects: suspects.map((text) => {
      const [fingerprint, runMs = "100"] = text.split(" ");
      return {
        fingerprint: fingerprint!,
        runMs: Number(runMs),
        isCleared: false,
      };
    }),
  }));
}

function find(
  crashes: readonly Crash[],
  more: { known?: ReadonlySet<string>; onProbation?: ReadonlySet<string> } = {},
): string[] {
  const evidence = { crashes, known: NOBODY, onProbation: NOBODY, ...more };
  return findPoison(evidence).map((one) => one.fingerprint);
}

describe("findPoison", () => {
  it("finds the request that is in three crashes", () => {
    expect(find(buildCrashes(["p"], ["p", "a"]))).to.deep.equal([]);
    expect(find(buildCrashes(["p"], ["p", "a"], ["b", "p"])))
      .to.deep.equal(["p"]);
  });

  // A stream that is cut, repeated and asked for again may meet three crashes.
  it("spares what ran beside it in three of its crashes", () => {
    const crashes = buildCrashes(["p"], ["p", "a"], ["p", "a"], ["p", "a"]);
    expect(find(crashes)).to.deep.equal(["p"]);
  });

  it("waits for the next crash where two were always together", () => {
    const both = ["p", "a"];
    expect(find(buildCrashes(both, both, both))).to.deep.equal([]);
    expect(find(buildCrashes(both, both, both, ["p"]))).to.deep.equal(["p"]);
  });

  it("decides for the one that crashes sooner where they stay together", () => {
    const both = ["a 900", "p 50"];
    expect(find(buildCrashes(both, both, both, both, both)))
      .to.deep.equal(["p"]);
  });

  it("finds several", () => {
    const crashes = buildCrashes(
      ["p"],
      ["p", "q"],
      ["p"],
      ["p"],
      ["q"],
      ["q"],
      ["q", "a"],
    );
    expect(find(crashes)).to.have.members(["p", "q"]);
  });

  it("blames no other request for crashes of a known one", () => {
    const crashes = buildCrashes(["p", "a"], ["p", "a"], ["p", "a"]);
    expect(find(crashes, { known: new Set(["p"]) })).to.deep.equal([]);
  });

  it("needs one crash of a request that is on probation", () => {
    const onProbation = new Set(["p"]);
    expect(find(buildCrashes(["p", "a"]), { onProbation }))
      .to.deep.equal(["p"]);
  });

  it("passes over cleared requests and over cut connections", () => {
    const cleared = buildCrashes(["p"], ["p"], ["p"]).map((crash) => ({
      ...crash,
      suspects: crash.suspects.map((one) => ({ ...one, isCleared: true })),
    }));
    expect(find(cleared)).to.deep.equal([]);
    const cut = buildCrashes(["p"], ["p"], ["p"])
      .map((crash) => ({ ...crash, isVoid: true }));
    expect(find(cut)).to.deep.equal([]);
  });
});
