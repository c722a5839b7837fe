import type { MemberFacts } from "@sardinestep/types";
import { expect } from "chai";
import { type HeardIdentity, NEVER_HEARD } from "./member_row.ts";
import { MemberTable } from "./member_table.ts";

const SILENT_AFTER_MS = 4_000;

function buildPlace(vmId: string) {
  return {
    vmId,
    zone: `zone-${vmId}`,
    site: "s",
    entryRpc: `10.0.0.1:${vmId.length}`,
    controlRpc: `10.0.0.2:${vmId.length}`,
  };
}

function buildIdentity(
  vmId: string,
  instance = `${vmId}#1`,
  process: HeardIdentity["process"] = "control",
): HeardIdentity {
  const place = buildPlace(vmId);
  const rpc = process === "entry" ? place.entryRpc : place.controlRpc;
  return { process, vmId, zone: place.zone, site: "s", instance, rpc };
}

function buildMember(vmId: string, more: Partial<MemberFacts> = {}) {
  const base = { entryInstance: `${vmId}#1`, state: "live", heardAt: 0 };
  return { ...buildPlace(vmId), ...base, ...more } as MemberFacts;
}

function buildListed(...vmIds: string[]) {
  return vmIds.map((vmId) => ({
    ...buildPlace(vmId),
    state: "live" as const,
  }));
}

function createTable(): MemberTable {
  const table = new MemberTable({
    self: buildPlace("a"),
    silentAfterMs: SILENT_AFTER_MS,
  });
  table.setOwnEntry("a#1", 0);
  return table;
}

function getStates(table: MemberTable, now: number) {
  const members = table.getMembers(now);
  return Object.fromEntries(members.map((it) => [it.vmId, it.state]));
}

describe("MemberTable", () => {
  // Results of a request are kept at no other entry and minted keys can't be
  // forwarded, although all VMs live. Each control had heard of the others by
  // their controls' connections first, which tell the control's address only;
  // the list's address of the entry was passed over after that.
  it("fills in an entry's address that the first connection did not tell", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b"), 5);
    table.applyList(buildListed("a", "b"), 10);
    const b = table.getMembers(10).find((member) => member.vmId === "b");
    expect(b?.entryRpc).to.equal(buildPlace("b").entryRpc);
  });

  it("counts a VM that is listed but was never heard from as silent", () => {
    const table = createTable();
    table.applyList(buildListed("a", "b"), 10);
    expect(getStates(table, 10)).to.deep.equal({ a: "live", b: "silent" });
    expect(table.getMembers(10)[1]?.heardAt).to.equal(NEVER_HEARD);
  });

  it("counts a VM that was never listed but is heard from as live", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("new"), 10);
    expect(getStates(table, 10)).to.deep.equal({ a: "live", new: "live" });
  });

  it("counts a VM as silent after the limit, and as live when heard again", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b"), 0);
    expect(getStates(table, SILENT_AFTER_MS).b).to.equal("live");
    expect(getStates(table, SILENT_AFTER_MS + 1).b).to.equal("silent");
    table.applyHeard(buildIdentity("b"), SILENT_AFTER_MS + 2);
    expect(getStates(table, SILENT_AFTER_MS + 2).b).to.equal("live");
  });

  // A VM is replaced. Its old entry said that it leaves; the news goes round
  // while the new entry has started under the same VM id. Nothing new would go
  // to the new entry if old news could hit it.
  it("undoes leaving by a new instance only", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b", "b#1", "entry"), 0);
    table.markLeaving("b", 1);
    table.applyHeard(buildIdentity("b", "b#1", "entry"), 2);
    table.applyGossip([buildMember("b")], 2, { from: "c" });
    expect(getStates(table, 2).b).to.equal("leaving");
    table.applyHeard(buildIdentity("b", "b#2", "entry"), 3);
    expect(getStates(table, 3).b).to.equal("live");
    table.applyGossip([buildMember("b", { state: "leaving" })], 4);
    expect(getStates(table, 4).b).to.equal("live");
  });

  it("counts leaving once when the list changes to it, and ignores older lists", () => {
    const table = createTable();
    const leaving = [{ ...buildPlace("b"), state: "leaving" as const }];
    table.applyHeard(buildIdentity("b", "b#1", "entry"), 0);
    table.applyList(leaving, 1, { asOf: 50 });
    table.applyList(buildListed("b"), 2, { asOf: 49 });
    expect(getStates(table, 2).b).to.equal("leaving");
    table.applyHeard(buildIdentity("b", "b#2", "entry"), 3);
    table.applyList(leaving, 4, { asOf: 51 });
    expect(getStates(table, 4).b).to.equal("live");
  });

  // A control has just started and knows from the lagging list only that a VM
  // leaves, not which run of it. The VM has been replaced meanwhile, and all others
  // would take the new run out of service.
  it("ignores leaving from one who does not know the run", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b", "b#2", "entry"), 0);
    const vague = { state: "leaving", entryInstance: "" } as const;
    table.applyGossip([buildMember("b", vague)], 1, { from: "c" });
    table.applyGossip([buildMember("a", vague)], 1, { from: "c" });
    expect(getStates(table, 1)).to.deep.equal({ a: "live", b: "live" });
  });

  // A zone comes back. A VM in it hears of its neighbour's new run from one control
  // and then of the run before from another, which is slower. The neighbour's own
  // word must count, or it would be out of service here and nowhere else, and
  // two entries would warm its endpoints.
  it("takes a VM's own word for its run, whatever others said before", () => {
    const table = createTable();
    const old = { state: "leaving", entryInstance: "b#2" } as const;
    table.applyGossip([buildMember("b", { entryInstance: "b#3" })], 1);
    table.applyGossip([buildMember("b", old)], 2, { from: "c" });
    table.applyGossip([buildMember("b", { entryInstance: "b#2" })], 3, {
      from: "d",
    });
    table.applyHeard(buildIdentity("b"), 4);
    table.applyGossip([buildMember("b", { entryInstance: "b#3" })], 4, {
      from: "b",
    });
    table.applyGossip([buildMember("b", old)], 5, { from: "c" });
    expect(table.getMembers(5)[1]).to.include(
      { entryInstance: "b#3", state: "live" },
    );
  });

  it("serves a VM that left before it was ever heard and came back", () => {
    const table = createTable();
    const leaving = [{ ...buildPlace("b"), state: "leaving" as const }];
    table.applyList(leaving, 1, { asOf: 50 });
    expect(getStates(table, 1).b).to.equal("leaving");
    table.applyList(buildListed("b"), 2, { asOf: 51 });
    expect(getStates(table, 2).b).to.equal("leaving");
    table.applyHeard(buildIdentity("b", "b#2", "entry"), 3);
    expect(getStates(table, 3).b).to.equal("live");
  });

  it("lets a VM that another one hears count as live, but not by hearsay", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b"), 0);
    const late = SILENT_AFTER_MS + 1;
    table.applyGossip([buildMember("b")], late, { from: "c" });
    expect(getStates(table, late).b).to.equal("live");
    expect(table.getGossip(late).find((it) => it.vmId === "b")?.state)
      .to.equal("silent");
    expect(getStates(table, late + SILENT_AFTER_MS + 1).b).to.equal("silent");
  });

  it("counts a VM whose control lives without an entry as silent", () => {
    const table = createTable();
    table.applyHeard(buildIdentity("b"), 0);
    table.applyGossip([buildMember("b", { state: "silent" })], 0, {
      from: "b",
    });
    expect(getStates(table, 0).b).to.equal("silent");
    table.setOwnEntry(undefined, 1);
    expect(table.getGossip(1)[0]?.state).to.equal("silent");
  });

  it("learns from others that its own VM is listed as leaving", () => {
    const table = createTable();
    table.applyGossip(
      [buildMember("a", { state: "leaving", entryInstance: "a#0" })],
      1,
    );
    expect(getStates(table, 1).a).to.equal("live");
    table.applyGossip([buildMember("a", { state: "leaving" })], 2);
    expect(getStates(table, 2).a).to.equal("leaving");
  });

  // A process is frozen for an hour and wakes up. Requests of that hour wait in
  // its sockets and look as if others were heard just now. It must not act on
  // its old view before others have answered it.
  it("takes its view for fresh only by answers to calls sent lately", () => {
    const table = createTable();
    table.applyList(buildListed("a", "b", "c"), 0);
    expect(table.isViewFresh(0)).to.equal(false);
    table.applyHeard(buildIdentity("b"), 10, { askedAt: 5 });
    expect(table.isViewFresh(10)).to.equal(true);
    const awakeAt = 3_600_000;
    table.applyList(buildListed("a", "b", "c"), awakeAt);
    table.applyHeard(buildIdentity("b"), awakeAt);
    table.applyHeard(buildIdentity("c"), awakeAt, { askedAt: 6 });
    expect(table.isViewFresh(awakeAt)).to.equal(false);
    table.applyHeard(buildIdentity("c"), awakeAt + 9, { askedAt: awakeAt + 1 });
    expect(table.isViewFresh(awakeAt + 9)).to.equal(true);
    table.handlePause();
    expect(table.isViewFresh(awakeAt + 9)).to.equal(false);
  });

  it("takes no view for fresh that rests on an old list", () => {
    const table = createTable();
    table.applyList(buildListed("a", "b"), 0);
    table.applyHeard(buildIdentity("b"), 20_000, { askedAt: 20_000 });
    expect(table.isViewFresh(20_000)).to.equal(false);
  });

  it("forgets VMs that are neither listed nor heard from", () => {
    const table = createTable();
    for (let count = 0; count < 100; count += 1) {
      table.applyHeard(buildIdentity(`old-${count}`), count);
    }
    expect(table.getMembers(1_000_000).map((it) => it.vmId))
      .to.deep.equal(["a"]);
  });

  it("refuses limits under which two warmers could be taken for one", () => {
    const create = () =>
      new MemberTable({
        self: buildPlace("a"),
        silentAfterMs: 4_000,
        viewFreshMs: 1_001,
      });
    expect(create).to.throw('Cannot use viewFreshMs "1001"');
  });
});
