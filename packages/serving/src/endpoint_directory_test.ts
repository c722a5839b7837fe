import { expect } from "chai";
import { buildEndpoint } from "./_fixtures.ts";
import {
  EndpointDirectory,
  EXPIRY_GRACE_MS,
  RESTORE_GRACE_MS,
} from "./endpoint_directory.ts";
import type { ServingEndpoint } from "./model.ts";

describe("endpoint updates between VMs", () => {
  const reader = new EndpointDirectory();
  const follower = new EndpointDirectory();
  const getIds = (directory: EndpointDirectory) =>
    directory.getAll(0).map(({ endpoint }) => endpoint.id).sort();
  let position = -1;
  /** Sends the follower what the reader knows at a position. */
  const follow = (to: number, now: number) => {
    const update = reader.getUpdateSince(position, now);
    follower.mergeUpdate(update, now, to);
    position = to;
    return update;
  };

  it("sends the whole directory first, then changes", () => {
    reader.update(buildEndpoint("e1"), 0, 10);
    reader.update(buildEndpoint("e2"), 0, 10);
    expect(follow(10, 5).isWhole).to.equal(true);
    expect(getIds(follower)).to.deep.equal(["e1", "e2"]);
    reader.update(buildEndpoint("e1"), 100, 11);
    expect(follow(11, 105).changed).to.deep.equal([]);
    reader.update(buildEndpoint("e1", { isDraining: true }), 200, 12);
    expect(follow(12, 205).changed).to.have.length(1);
    expect(follower.find("e1")?.isDraining).to.equal(true);
  });

  it("sends every record of a cold endpoint", () => {
    reader.update(buildEndpoint("e2", { coldMs: 900 }), 300, 13);
    const [update] = follow(13, 350).changed;
    expect(update).to.deep.include({ ageMs: 50 });
    expect(follower.getAll(350).find(({ endpoint }) => endpoint.id === "e2"))
      .to.deep.include({ ageMs: 50 });
    reader.update(buildEndpoint("e2"), 400, 14);
    // The follower counts down the 900 ms by itself.
    expect(follow(14, 405).changed).to.deep.equal([]);
  });

  // An endpoint leaves while the follower receives nothing. If only registered
  // endpoints were sent, the follower would keep sending requests to the removed
  // one.
  it("sends removals, even long after", () => {
    reader.remove("e1", 10_000, 15);
    reader.update(buildEndpoint("e3"), 10_000, 16);
    follow(16, 20_000);
    expect(getIds(follower)).to.deep.equal(["e2", "e3"]);
  });

  // The registry recovers from an outage and some records are still missing. The
  // reader waits for them; the follower must neither drop them sooner nor keep them
  // forever.
  it("drops expired endpoints at the same time", () => {
    reader.handleRegistryRecovery(30_000);
    reader.removeMissing(new Set(["e2"]), 30_100, 17);
    follow(17, 30_200);
    expect(getIds(follower)).to.deep.equal(["e2", "e3"]);
    expect(follower.removeExpired(30_000 + EXPIRY_GRACE_MS)).to.deep.equal([
      "e3",
    ]);
  });

  it("sends the whole directory to a VM that is too far behind", () => {
    for (let i = 0; i < 600; i++) {
      reader.update(buildEndpoint(`x${i}`), 40_000, 18 + i);
      reader.remove(`x${i}`, 40_000, 18 + i);
    }
    const update = reader.getUpdateSince(17, 40_000);
    expect(update.isWhole).to.equal(true);
    expect(update.changed.map(({ endpoint }) => endpoint.id)).to.include("e2");
  });

  it("updates the list of a service", () => {
    const directory = new EndpointDirectory();
    directory.update(buildEndpoint("e1"), 0);
    expect(directory.getOfService("roster")).to.have.length(1);
    directory.update(buildEndpoint("e2"), 0);
    directory.update(buildEndpoint("e1", { service: "desk" }), 0);
    expect(directory.getOfService("roster").map((endpoint) => endpoint.id))
      .to.deep.equal(["e2"]);
    directory.remove("e2", 9_000);
    expect(directory.getOfService("roster")).to.deep.equal([]);
  });
});

describe("two endpoints at one address", () => {
  // Limits and notices of a worker were counted to the process before it.
  for (const order of [["before", "after"], ["after", "before"]]) {
    it(`are the newer one by their address (${order})`, () => {
      const directory = new EndpointDirectory();
      for (const id of order) {
        const bornMs = id === "after" ? 2 : 1;
        directory.update(buildEndpoint(id, { address: "a:1", bornMs }), 0);
      }
      expect(directory.findByAddress("a:1")?.id).to.equal("after");
      directory.remove("before", 10);
      expect(directory.findByAddress("a:1")?.id).to.equal("after");
    });
  }
});

describe("an endpoint directory after a restore of the registry", () => {
  const build = (sequence: number, more: Partial<ServingEndpoint> = {}) =>
    buildEndpoint("e1", { sequence, ...more });

  it("ignores listed records of the past, of known and of removed endpoints", () => {
    const directory = new EndpointDirectory();
    directory.update(build(5, { isDraining: true }), 0, 1);
    directory.handleRegistryRestore(100);
    expect(directory.updateListed(build(4), 200, 2)).to.equal("none");
    expect(directory.find("e1")?.isDraining).to.equal(true);
    directory.remove("e1", 300, 3);
    expect(directory.updateListed(build(5), 400, 4)).to.equal("none");
    expect(directory.find("e1")).to.equal(undefined);
  });

  it("applies records that were written since, also with the count of before", () => {
    const directory = new EndpointDirectory();
    directory.update(build(5), 0, 1);
    directory.handleRegistryRestore(100);
    directory.removeMissing(new Set(), 200, 2);
    expect(directory.removeExpired(100 + EXPIRY_GRACE_MS)).to.deep.equal([
      "e1",
    ]);
    expect(directory.update(build(5), 3_000, 3)).to.equal("added");
    const restarted = build(1, { bornMs: 2 });
    expect(directory.updateListed(restarted, 3_100, 4)).to.equal("restarted");
  });

  // A VM that started after the restore takes such a record for a new one.
  it("ignores records of the past that another VM sends", () => {
    const directory = new EndpointDirectory();
    directory.update(build(5), 0, 1);
    directory.handleRegistryRestore(100);
    directory.remove("e1", 100 + EXPIRY_GRACE_MS, 2);
    const changed = [{ endpoint: build(4), ageMs: 0 }];
    const update = { changed, removed: [], isWhole: false };
    directory.mergeUpdate(update, 3_000, 3);
    expect(directory.find("e1")).to.equal(undefined);
    directory.mergeUpdate(update, 100 + RESTORE_GRACE_MS, 4);
    expect(directory.find("e1")?.sequence).to.equal(4);
  });
});
