import * as endpointSpeed from "@sardinestep/endpoint_speed";
import * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { planSpeedSharing, type SpeedSharingOptions } from "./speed_sharing.ts";

const ZONES = ["a", "b", "c"];

/** Members of all zones; those of a zone rank in the order of their numbers. */
const MEMBERS: readonly serving.ServingMember[] = Array.from(
  { length: 9 },
  (_, i) => ({
    vmId: `vm-${i}`,
    zone: ZONES[i % ZONES.length]!,
    rpc: `vm-${i}:1`,
  } as serving.ServingMember),
);

interface Site {
  readonly dead?: ReadonlySet<string>;
  readonly isSharded?: boolean;
  readonly hasReports?: boolean;
  readonly members?: number;
  readonly hasPool?: boolean;
}

function plan(index: number, site: Site = {}) {
  const sources: string[] = [];
  const { isSharded = false, dead = new Set() } = site;
  const options: SpeedSharingOptions = {
    member: MEMBERS[index]!,
    members: site.members ?? MEMBERS.length,
    services: site.hasPool === false
      ? [{ name: "engine" }]
      : [{ name: "engine" }, { name: "b", pool: {} as serving.PoolSpec }],
    leaders: {
      zones: new Set(ZONES),
      getShard: (zone) => isSharded ? zone : serving.WHOLE_POOL,
      getRanking: (_, shard) =>
        MEMBERS.filter(({ zone }) => !isSharded || zone === shard),
    },
    isAlive: (vmId) => !dead.has(vmId),
    speeds: {
      hasReports: site.hasReports ?? true,
      getShared: (source) => {
        sources.push(source);
        return [];
      },
    },
  };
  const sharing = planSpeedSharing(options);
  return sharing && { peers: [...sharing.peers], sources };
}

describe("planSpeedSharing", () => {
  const { own, all } = endpointSpeed.SHARE_SOURCE;

  it("sends own figures to the one VM that collects them", () => {
    expect(plan(4)).to.deep.equal({ peers: ["vm-0:1"], sources: [own] });
    expect(plan(0)).to.equal(undefined);
  });

  it("joins the collecting VMs of zones that lead their own shards", () => {
    const site = { isSharded: true };
    expect(plan(4, site)).to.deep.equal({ peers: ["vm-1:1"], sources: [own] });
    expect(plan(1, site)).to.deep.equal({
      peers: ["vm-0:1", "vm-1:1", "vm-2:1"],
      sources: [all],
    });
  });

  // Failure: the VM that collects the figures dies.
  it("moves to the next live candidate", () => {
    const dead = new Set(["vm-0"]);
    expect(plan(4, { dead })?.peers).to.deep.equal(["vm-1:1"]);
    expect(plan(1, { dead })).to.equal(undefined);
  });

  // Failure: no candidate is known to be alive, as after a start alone.
  it("shares nothing while no candidate is alive", () => {
    const dead = new Set(MEMBERS.map(({ vmId }) => vmId));
    expect(plan(4, { dead })).to.equal(undefined);
  });

  // Guards the promise that other sites exchange the same views as before, and the
  // collecting VM of a large site against its members' traffic.
  it("shares nothing without reports, without pools or on large sites", () => {
    expect(plan(4, { hasReports: false })).to.equal(undefined);
    expect(plan(4, { hasPool: false })).to.equal(undefined);
    expect(plan(4, { members: 3_800 })).to.equal(undefined);
  });
});
