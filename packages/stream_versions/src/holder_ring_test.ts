import { expect } from "chai";
import { type Holder, HolderRing, planCopies } from "./mod.ts";

const ZONES = ["a", "b", "c"];

function buildHolders(count: number): Holder[] {
  return Array.from({ length: count }, (_, i) => ({
    vmId: `vm-${i}`,
    zone: ZONES[i % ZONES.length]!,
    rpc: `10.0.0.${i}:1`,
  }));
}

const KEYS = Array.from({ length: 400 }, (_, i) => `key-${i}`);
const getIds = (holders: readonly Holder[]) => holders.map(({ vmId }) => vmId);

describe("HolderRing", () => {
  it("picks the same VMs from the same members in any order", () => {
    const holders = buildHolders(9);
    const [ring, same] = [holders, holders.toReversed()]
      .map((members) => new HolderRing(members));
    for (const key of KEYS) {
      expect(getIds(ring!.pick(key, 4)))
        .to.deep.equal(getIds(same!.pick(key, 4)));
    }
  });

  // All copies of a note would be lost with one zone.
  it("picks VMs of all zones first", () => {
    const ring = new HolderRing(buildHolders(9));
    for (const key of KEYS) {
      const zones = ring.pick(key, 3).map(({ zone }) => zone);
      expect(new Set(zones).size, key).to.equal(3);
    }
  });

  it("picks fewer VMs where there are fewer", () => {
    expect(new HolderRing([]).pick("key", 4)).to.deep.equal([]);
    expect(new HolderRing(buildHolders(2)).pick("key", 4)).to.have.length(2);
  });

  // A VM that knows a member more asks others than those that keep the note.
  it("finds a kept note with one member more or less", () => {
    const before = new HolderRing(buildHolders(9));
    const after = new HolderRing(buildHolders(10));
    for (const key of KEYS) {
      const kept = new Set(getIds(before.pick(key, planCopies(9))));
      const asked = getIds(after.pick(key, 8));
      const found = asked.filter((vmId) => kept.has(vmId));
      expect(found.length, key).to.be.at.least(2);
    }
  });

  it("spreads the notes of a large site", () => {
    const counts = new Map<string, number>();
    const ring = new HolderRing(buildHolders(60));
    for (const key of KEYS) {
      for (const vmId of getIds(ring.pick(key, 2))) {
        counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
      }
    }
    const mean = 2 * KEYS.length / 60;
    expect(Math.max(...counts.values())).to.be.below(4 * mean);
  });
});
