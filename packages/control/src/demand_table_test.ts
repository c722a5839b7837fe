import { expect } from "chai";
import { DemandTable } from "./demand_table.ts";

function buildEntry(vmId: string, load: number) {
  return { vmId, demand: [{ service: "tickets", customer: "mill", load }] };
}

describe("DemandTable", () => {
  it("tells an entry what the others see, not what it said itself", () => {
    const table = new DemandTable();
    table.setDirect(buildEntry("a", 1), 0);
    table.applyGossip([buildEntry("b", 2)], 0);
    expect(table.getOthers("a", 10)).to.deep.equal([buildEntry("b", 2)]);
  });

  it("passes on only what it heard itself, so that no rumour goes round", () => {
    const table = new DemandTable();
    table.setDirect(buildEntry("a", 1), 0);
    table.applyGossip([buildEntry("b", 2)], 0);
    expect(table.getDirect(10)).to.deep.equal([buildEntry("a", 1)]);
  });

  // A customer gets a part of its share only, minutes after an entry has died.
  // The dead entry's demand was kept, and its part with it.
  it("forgets the demand of an entry that is no longer heard of", () => {
    const table = new DemandTable();
    table.applyGossip([buildEntry("b", 2)], 0);
    expect(table.getOthers("a", 2_001)).to.deep.equal([]);
  });

  it("takes an entry's own word before what other controls say of it", () => {
    const table = new DemandTable();
    table.setDirect(buildEntry("a", 1), 100);
    table.applyGossip([buildEntry("a", 9)], 200);
    expect(table.getDirect(200)).to.deep.equal([buildEntry("a", 1)]);
  });
});
