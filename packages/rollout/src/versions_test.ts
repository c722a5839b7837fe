import { expect } from "chai";
import { ORDER } from "./_fixtures.ts";
import {
  decideVersionUse,
  mayResumeAt,
  planEstablishedVersions,
} from "./versions.ts";

const established = new Set(["v1"]);

describe("decideVersionUse", () => {
  const decide = (
    version: string,
    phase?: Parameters<
      typeof decideVersionUse
    >[0]["phase"],
  ) =>
    decideVersionUse({
      version,
      established,
      order: phase && ORDER,
      phase,
    });

  // Endpoints may register before the order is read, or without an order.
  it("sends no requests to a version without an order", () => {
    expect(decide("v1")).to.equal("present");
    expect(decide("v2")).to.equal("none");
    expect(decide("v3", { kind: "canary" })).to.equal("none");
  });

  it("separates the versions while an order is open", () => {
    expect(decide("v1", { kind: "canary" })).to.equal("present");
    expect(decide("v2", { kind: "canary" })).to.equal("target");
  });

  it("uses only the target version once the order has succeeded", () => {
    const settled = { kind: "settled", state: "succeeded" } as const;
    expect(decide("v1", settled)).to.equal("none");
    expect(decide("v2", settled)).to.equal("present");
  });

  it("never treats a rolled-back version as the present one", () => {
    const settled = { kind: "settled", state: "rolledBack" } as const;
    expect(decide("v1", settled)).to.equal("present");
    expect(decide("v2", settled)).to.equal("target");
  });
});

describe("mayResumeAt", () => {
  const phases = {
    canary: { kind: "canary" },
    stopped: { kind: "stopped", reason: "bad" },
    rolledBack: { kind: "settled", state: "rolledBack" },
    succeeded: { kind: "settled", state: "succeeded" },
  } as const;

  // A version that gets no new requests may still have streams to go on with.
  it("holds for all versions but one that proved bad", () => {
    const getResumable = (phase: keyof typeof phases) =>
      ["v0", ORDER.target].filter((version) =>
        mayResumeAt({ version, order: ORDER, phase: phases[phase] })
      );
    expect(getResumable("canary")).to.deep.equal(["v0", ORDER.target]);
    expect(getResumable("succeeded")).to.deep.equal(["v0", ORDER.target]);
    expect(getResumable("stopped")).to.deep.equal(["v0"]);
    expect(getResumable("rolledBack")).to.deep.equal(["v0"]);
    expect(mayResumeAt({ version: "v0" })).to.equal(true);
  });
});

describe("planEstablishedVersions", () => {
  it("takes the versions that register first, except the target", () => {
    const registered = new Set(["v1", "v2"]);
    const known = new Set<string>();
    expect([...planEstablishedVersions({ known, registered })])
      .to.deep.equal(["v1", "v2"]);
    expect([...planEstablishedVersions({ known, registered, order: ORDER })])
      .to.deep.equal(["v1"]);
  });

  it("keeps a version while one of its endpoints is registered", () => {
    const plan = (...versions: string[]) => [
      ...planEstablishedVersions({
        known: established,
        registered: new Set(versions),
      }),
    ];
    expect(plan("v1", "v2")).to.deep.equal(["v1"]);
    expect(plan("v2")).to.deep.equal(["v2"]);
  });

  it("returns only the target version once the order has succeeded", () => {
    const plan = planEstablishedVersions({
      known: established,
      registered: new Set(["v1", "v2"]),
      order: ORDER,
      phase: { kind: "settled", state: "succeeded" },
    });
    expect([...plan]).to.deep.equal(["v2"]);
  });
});
