import { expect } from "chai";
import { DepartedMembers } from "./departed_members.ts";

const GRACE_MS = 8_000;

describe("DepartedMembers", () => {
  let departed: DepartedMembers;

  beforeEach(() => {
    departed = new DepartedMembers(GRACE_MS);
    departed.record("vm-1", 0);
  });

  it("keeps a VM for the grace period", () => {
    expect(departed.getIds(GRACE_MS - 1)).to.deep.equal(["vm-1"]);
    expect(departed.getIds(GRACE_MS)).to.deep.equal([]);
  });

  it("forgets a VM that is a member again", () => {
    departed.remove("vm-1");
    expect(departed.getIds(1)).to.deep.equal([]);
  });

  it("applies a changed grace period to VMs that have departed", () => {
    departed.setGraceMs(2 * GRACE_MS);
    expect(departed.getIds(GRACE_MS)).to.deep.equal(["vm-1"]);
  });

  // VMs that pass on what they received must not keep each other's entries alive.
  it("doesn't extend a grace period by updates", () => {
    departed.mergeUpdates(departed.getUpdates(GRACE_MS - 1)!, GRACE_MS + 100);
    expect(departed.getIds(GRACE_MS + 100)).to.deep.equal([]);
    expect(departed.getUpdates(GRACE_MS + 100)).to.equal(undefined);
  });

  it("takes the age of an update into account", () => {
    const other = new DepartedMembers(GRACE_MS);
    other.mergeUpdates(departed.getUpdates(5_000)!, 100_000);
    expect(other.getIds(102_999)).to.deep.equal(["vm-1"]);
    expect(other.getIds(103_000)).to.deep.equal([]);
  });
});
