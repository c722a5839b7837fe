import { expect } from "chai";
import { Gossip } from "./gossip.ts";

const ENTRY_COUNT = 100;
const ENTRIES = Array.from(
  { length: ENTRY_COUNT },
  (_, id) => ({ id, changedAt: 0 }),
);
const isCurrent = () => true;

describe("Gossip", () => {
  it("sends a change with each exchange, and old entries now and then", () => {
    const gossip = new Gossip<typeof ENTRIES[number]>();
    const old = { id: 1, changedAt: 0 };
    const changed = { id: 2, changedAt: 10_000 };
    const pick = (now: number) =>
      gossip.pick([old, changed], { now, isCurrent })?.map(({ id }) => id);
    expect(pick(10_000)).to.deep.equal([2, 1]);
    expect(pick(10_250)).to.deep.equal([2]);
    expect(pick(11_900)).to.equal(undefined);
    expect(pick(12_000)).to.deep.equal([1, 2]);
  });

  // One exchange holds 64 entries; the rest would never be sent.
  it("sends all entries in turn", () => {
    const gossip = new Gossip<typeof ENTRIES[number]>();
    const sent = new Set<number>();
    for (const now of [10_000, 12_000]) {
      const picked = gossip.pick(ENTRIES, { now, isCurrent }) ?? [];
      for (const { id } of picked) sent.add(id);
    }
    expect(sent.size).to.equal(ENTRY_COUNT);
  });

  it("sends all entries to a VM that has just started", () => {
    const gossip = new Gossip<typeof ENTRIES[number]>();
    const pick = (isForStart: boolean) =>
      gossip.pick(ENTRIES.slice(0, 3), { now: 10_000, isCurrent, isForStart })
        ?.length;
    expect([pick(false), pick(false), pick(true)])
      .to.deep.equal([3, undefined, 3]);
  });
});
