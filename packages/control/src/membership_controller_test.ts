import type * as logger from "@sardinestep/logger";
import type * as ports from "@sardinestep/ports";
import type * as rpc from "@sardinestep/rpc";
import { expect } from "chai";
import { Err, Ok } from "ts-results-es";
import { letRun } from "./_fake_log.ts";
import { MembershipController } from "./membership_controller.ts";

/** No timer fires within a test: rounds are begun by the test. */
const INTERVAL_MS = 600_000;
const SELF = {
  vmId: "vm-1",
  zone: "zone-a",
  site: "yard",
  entryRpc: "entry-1",
  controlRpc: "control-1",
};
const LISTED = ["1", "2", "3"].map((number) => ({
  vmId: `vm-${number}`,
  zone: "zone-a",
  site: "yard",
  entryRpc: `entry-${number}`,
  controlRpc: `control-${number}`,
  state: "live",
}));

function buildIdentity(number: string): rpc.Identity {
  const instance = `run-${number}`;
  const place = { vmId: `vm-${number}`, zone: "zone-a", site: "yard" };
  return { process: "control", ...place, instance, rpc: `control-${number}` };
}

describe("MembershipController", () => {
  const opened: MembershipController[] = [];

  afterEach(() => {
    for (const controller of opened.splice(0)) controller.close();
  });

  function openController(
    parts: { readonly isListed?: boolean; readonly answers?: boolean } = {},
  ) {
    const asked: string[] = [];
    const replies: rpc.GossipReply[] = [];
    const changes: string[] = [];
    const call = (address: string, method: string) => {
      asked.push(`${method} ${address}`);
      if (!parts.answers) {
        return Promise.resolve(Err({ kind: "timeout", message: "Silent" }));
      }
      const identity = buildIdentity(address.slice("control-".length));
      const reply = { identity, configVersion: 1, members: [], endpoints: [] };
      return Promise.resolve(Ok(reply));
    };
    const list = { vms: LISTED, endpoints: [], asOf: Date.now() };
    const read = () =>
      Promise.resolve(
        parts.isListed === false
          ? Err({ kind: "timeout", message: "Down" })
          : Ok(list),
      );
    const controller = new MembershipController({
      self: SELF,
      identity: buildIdentity("1"),
      vmList: { read } as unknown as ports.VmListPort,
      vmListIntervalMs: INTERVAL_MS,
      gossipIntervalMs: INTERVAL_MS,
      neighbours: ["control-9"],
      peers: { call } as unknown as rpc.Peers,
      drawRandom: () => 0,
      logger: {
        change: (name: string) => changes.push(name),
      } as unknown as logger.Logger,
      buildNews: () => ({
        configVersion: 1,
        isJudging: true,
        endpoints: [],
        demands: [],
      }),
      onReply: (reply) => replies.push(reply),
      onList: () => {},
      onMembers: () => {},
    });
    opened.push(controller);
    return { controller, asked, replies, changes };
  }

  it("gossips with the neighbours of the settings before any list", async () => {
    const { controller, asked } = openController({ isListed: false });
    controller.start();
    await letRun();
    expect(asked).to.deep.equal(["gossip control-9"]);
  });

  it("gossips with every listed control but its own", async () => {
    const { controller, asked, replies } = openController({ answers: true });
    controller.start();
    await letRun();
    asked.length = 0;
    controller.spreadNow();
    await letRun();
    expect(asked.sort()).to.deep.equal([
      "gossip control-2",
      "gossip control-3",
      "gossip control-9",
    ]);
    expect(replies.length).to.be.above(0);
  });

  // A cold engine falls over after an outage of the VM list: a control that has
  // never read the list takes itself for the only one and opens it whole.
  it("has no fresh view without the list", async () => {
    const { controller, changes } = openController({
      isListed: false,
      answers: true,
    });
    controller.start();
    await letRun();
    controller.spreadNow();
    await letRun();
    expect(controller.isViewFresh()).to.equal(false);
    expect(changes).to.deep.equal(["vm_list"]);
  });

  it("has no fresh view while listed controls do not answer", async () => {
    const { controller } = openController();
    controller.start();
    await letRun();
    expect(controller.isViewFresh()).to.equal(false);
  });

  it("names its own entry as live once it is connected, not before", async () => {
    const { controller } = openController({ answers: true });
    controller.start();
    await letRun();
    const find = () =>
      controller.getMembers().find(({ vmId }) => vmId === "vm-1");
    const before = find()?.entryInstance;
    controller.setOwnEntry("entry-run");
    expect([before, find()?.entryInstance]).to.deep.equal(["", "entry-run"]);
    controller.markSelfLeaving();
    expect(find()?.state).to.equal("leaving");
  });
});
