import * as logger from "@sardinestep/logger";
import type * as serving from "@sardinestep/serving";
import { expect } from "chai";
import fc from "fast-check";
import { SiteState } from "./site_state.ts";

const VM_COUNT = 8;

function createSite(): SiteState {
  return new SiteState(
    new logger.EventLog({
      process: "test",
      vmId: "vm",
      output: { writableLength: 0, write: () => true },
    }),
  );
}

/** State of a peer that has read the first `position` member records. */
function buildUpdate(position: number): serving.SiteUpdate {
  return {
    operatorPosition: 0,
    endpointPosition: 0,
    memberPosition: position,
    quarantinePosition: 0,
    members: Array.from({ length: position }, (_, i) => ({
      vmId: `vm-${i}`,
      zone: "zone-a",
      rpc: `vm-${i}:1`,
      cores: 1,
    })),
  };
}

describe("members in the updates of peers", () => {
  // 200 VMs start within a second and exchange their member lists. If a delayed answer
  // with an older list removes members, no VM sends them again, because this VM's
  // position is already as high as the others'. Each zone then has five leaders per
  // pool all day; calls are half full and endpoints are full.
  it("are not removed by an older update", () => {
    const site = createSite();
    site.mergeUpdate(buildUpdate(3), 0);
    site.mergeUpdate(buildUpdate(2), 0);
    expect(site.members.map(({ vmId }) => vmId))
      .to.deep.equal(["vm-0", "vm-1", "vm-2"]);
  });

  it("are the newest ones, in whichever order updates arrive", () => {
    const orders = fc.shuffledSubarray(
      Array.from({ length: VM_COUNT }, (_, i) => i + 1),
      { minLength: VM_COUNT },
    );
    fc.assert(
      fc.property(orders, (positions) => {
        const site = createSite();
        for (const position of positions) {
          site.mergeUpdate(buildUpdate(position), 0);
        }
        expect(site.members).to.have.length(VM_COUNT);
        expect(site.memberPosition).to.equal(VM_COUNT);
      }),
      { seed: 5 },
    );
  });

  it("are removed when a newer update lacks them", () => {
    const site = createSite();
    site.mergeUpdate(buildUpdate(3), 0);
    site.mergeUpdate({ ...buildUpdate(2), memberPosition: 4 }, 0);
    expect(site.members.map(({ vmId }) => vmId))
      .to.deep.equal(["vm-0", "vm-1"]);
  });
});

describe("VMs that may send", () => {
  // What all VMs share was divided by too few while a VM that stops still sent.
  it("include one that was removed, for its grace period", () => {
    const site = createSite();
    site.mergeUpdate(buildUpdate(3), 0);
    site.removeMember("vm-1");
    expect(site.members.map(({ vmId }) => vmId))
      .to.deep.equal(["vm-0", "vm-2"]);
    expect(site.senders).to.have.members(["vm-0", "vm-1", "vm-2"]);
    const counts = ["vm-0", "vm-1", "vm-new"].map((id) =>
      site.countSenders(id)
    );
    expect(counts).to.deep.equal([3, 3, 4]);
    site.departed.setGraceMs(0);
    expect(site.senders).to.have.members(["vm-0", "vm-2"]);
  });

  // A listing that lacks live VMs left each of them alone with the whole limit.
  it("include those that a listing lacks", () => {
    const site = createSite();
    site.mergeUpdate(buildUpdate(3), 0);
    site.removeMissingMembers(new Set(["vm-0"]));
    expect(site.senders).to.have.length(3);
  });

  it("include a VM once that has started again", () => {
    const site = createSite();
    const { members } = buildUpdate(1);
    site.mergeUpdate(buildUpdate(1), 0);
    site.removeMember("vm-0");
    site.updateMember(members![0]!);
    expect(site.senders).to.deep.equal(["vm-0"]);
    expect(site.departed.getIds(performance.now())).to.deep.equal([]);
  });
});
