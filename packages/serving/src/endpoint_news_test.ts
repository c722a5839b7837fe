import { expect } from "chai";
import { EndpointFacts, LAPSE_GRACE_MS } from "./endpoint_facts.ts";
import type { ServingEndpoint } from "./model.ts";

function buildEndpoint(
  id: string,
  more: Partial<ServingEndpoint> = {},
): ServingEndpoint {
  return {
    id,
    service: "roster",
    address: "10.0.0.1:1",
    zone: "a",
    slots: 1,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    ...more,
  };
}

describe("news of endpoints between VMs", () => {
  const reader = new EndpointFacts();
  const follower = new EndpointFacts();
  const getIds = (facts: EndpointFacts) =>
    facts.getAll(0).map(({ endpoint }) => endpoint.id).sort();
  let position = -1;
  /** The follower hears what the reader knows at a position. */
  const follow = (to: number, now: number) => {
    const news = reader.getNewsSince(position, now);
    follower.mergeNews(news, now, to);
    position = to;
    return news;
  };

  it("gives everything first, then what changed", () => {
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

  it("tells each record of an endpoint that is cold", () => {
    reader.update(buildEndpoint("e2", { coldMs: 900 }), 300, 13);
    const [news] = follow(13, 350).changed;
    expect(news).to.deep.include({ ageMs: 50 });
    expect(follower.getAll(350).find(({ endpoint }) => endpoint.id === "e2"))
      .to.deep.include({ ageMs: 50 });
    reader.update(buildEndpoint("e2"), 400, 14);
    // The follower counts the 900 ms down by itself.
    expect(follow(14, 405).changed).to.deep.equal([]);
  });

  // An endpoint leaves while the follower hears nothing for a while. If only the
  // endpoints that are there were told, it would send to the one that left.
  it("tells what is gone, also long after", () => {
    reader.remove("e1", 10_000, 15);
    reader.update(buildEndpoint("e3"), 10_000, 16);
    follow(16, 20_000);
    expect(getIds(follower)).to.deep.equal(["e2", "e3"]);
  });

  // The registry comes back after an outage and its records are not all there
  // yet. The reader waits for them; the follower must not drop them sooner, nor
  // keep them for good.
  it("lets lapsed endpoints go at the same moment", () => {
    reader.handleRegistryReturn(30_000);
    reader.removeMissing(new Set(["e2"]), 30_100, 17);
    follow(17, 30_200);
    expect(getIds(follower)).to.deep.equal(["e2", "e3"]);
    expect(follower.dropLapsed(30_000 + LAPSE_GRACE_MS)).to.deep.equal(["e3"]);
  });

  it("gives everything to one that is too far behind", () => {
    for (let i = 0; i < 600; i++) {
      reader.update(buildEndpoint(`x${i}`), 40_000, 18 + i);
      reader.remove(`x${i}`, 40_000, 18 + i);
    }
    const news = reader.getNewsSince(17, 40_000);
    expect(news.isWhole).to.equal(true);
    expect(news.changed.map(({ endpoint }) => endpoint.id)).to.include("e2");
  });

  it("keeps the list of a service in step", () => {
    const facts = new EndpointFacts();
    facts.update(buildEndpoint("e1"), 0);
    expect(facts.getOfService("roster")).to.have.length(1);
    facts.update(buildEndpoint("e2"), 0);
    facts.update(buildEndpoint("e1", { service: "desk" }), 0);
    expect(facts.getOfService("roster").map((one) => one.id))
      .to.deep.equal(["e2"]);
    facts.remove("e2", 9_000);
    expect(facts.getOfService("roster")).to.deep.equal([]);
  });
});
