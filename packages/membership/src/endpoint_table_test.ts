import type { EndpointFacts, LoadReport } from "@sardinestep/types";
import { expect } from "chai";
import type { ListedEndpointFacts } from "./endpoint_row.ts";
import { EndpointTable } from "./endpoint_table.ts";

const LISTED: ListedEndpointFacts = {
  endpointId: "e",
  service: "drafts",
  role: "generator",
  zone: "zone-1",
  address: "127.0.0.1:9000",
  coldConcurrency: 1,
  warmConcurrency: 8,
  state: "live",
};

function buildReport(more: Partial<LoadReport> = {}): LoadReport {
  return {
    endpointId: "e",
    instance: "e#1",
    state: "warm",
    measuredAt: 10,
    running: 0,
    waiting: 0,
    ...more,
  };
}

function buildFacts(more: Partial<EndpointFacts> = {}): EndpointFacts {
  return { ...LISTED, instance: "e#1", state: "warm", ...more };
}

/** A table with one endpoint that reported to be warm at 10. */
function createWarmTable(): EndpointTable {
  const table = new EndpointTable();
  table.applyList([LISTED], 0, { asOf: 1 });
  table.applyReport(buildReport(), 11);
  table.takeChanges();
  return table;
}

function getState(table: EndpointTable) {
  return table.getEndpoint("e")?.state;
}

describe("EndpointTable", () => {
  it("starts cold, and warm where the first report says so", () => {
    const table = new EndpointTable();
    table.applyList([LISTED], 0);
    expect(getState(table)).to.equal("cold");
    table.applyReport(buildReport(), 11);
    expect(getState(table)).to.equal("warm");
  });

  // An endpoint restarts unannounced. Calls go on as to a warm one and it falls
  // over under full load. The first report that carries another run must turn it
  // cold at once, whatever state it names, and late reports of the former
  // run must not turn it warm again.
  it("turns cold at once when a report carries a new instance", () => {
    const table = createWarmTable();
    table.applyReport(buildReport({ instance: "e#2", measuredAt: 20 }), 21);
    expect(getState(table)).to.equal("cold");
    expect(table.applyReport(buildReport({ measuredAt: 30 }), 31))
      .to.equal(false);
    expect(table.getEndpoint("e")?.instance).to.equal("e#2");
    expect(getState(table)).to.equal("cold");
    table.applyReport(buildReport({ instance: "e#2", measuredAt: 32 }), 33);
    expect(getState(table)).to.equal("warm");
  });

  const NEGATIVE_NEWS = [
    { news: "silent", state: "silent" },
    { news: "cold", state: "cold" },
  ] as const;
  for (const { news, state } of NEGATIVE_NEWS) {
    it(`lets ${news} stand against reports that were measured before`, () => {
      const table = createWarmTable();
      table.applyNews({ endpointId: "e", instance: "e#1", news }, 50);
      table.applyReport(buildReport({ measuredAt: 50 }), 51);
      expect(getState(table)).to.equal(state);
      table.applyReport(buildReport({ measuredAt: 52 }), 53);
      expect(getState(table)).to.equal("warm");
    });
  }

  it("starts over cold when a silent endpoint answers", () => {
    const table = createWarmTable();
    const of = { endpointId: "e", instance: "e#1" };
    table.applyNews({ ...of, news: "silent" }, 50);
    table.applyNews({ ...of, news: "warm" }, 51);
    expect(getState(table)).to.equal("silent");
    table.applyNews({ ...of, news: "answered" }, 52);
    expect(getState(table)).to.equal("cold");
  });

  const FINAL_NEWS = [
    {
      name: "the list",
      tell: (table: EndpointTable) =>
        table.applyList([{ ...LISTED, state: "leaving" }], 50, { asOf: 2 }),
    },
    {
      name: "an entry",
      tell: (table: EndpointTable) =>
        table.applyNews(
          { endpointId: "e", instance: "e#1", news: "leaving" },
          50,
        ),
    },
    {
      name: "its own report",
      tell: (table: EndpointTable) =>
        table.applyReport(buildReport({ state: "leaving", measuredAt: 50 }), 5),
    },
    {
      name: "gossip",
      tell: (table: EndpointTable) =>
        table.applyGossip([buildFacts({ state: "leaving" })], 50),
    },
  ];
  for (const { name, tell } of FINAL_NEWS) {
    it(`lets leaving from ${name} stand until there is a new instance`, () => {
      const table = createWarmTable();
      tell(table);
      expect(getState(table)).to.equal("leaving");
      table.applyList([LISTED], 60, { asOf: 3 });
      table.applyReport(buildReport({ measuredAt: 60 }), 61);
      const of = { endpointId: "e", instance: "e#1" };
      table.applyNews({ ...of, news: "answered" }, 62);
      table.applyNews({ ...of, news: "warm" }, 62);
      table.applyGossip([buildFacts()], 63);
      expect(getState(table)).to.equal("leaving");
      table.applyReport(buildReport({ instance: "e#2", measuredAt: 64 }), 65);
      expect(getState(table)).to.equal("cold");
    });
  }

  it("revives nothing by an older list, nor by the list alone", () => {
    const table = createWarmTable();
    table.applyList([], 50, { asOf: 5 });
    table.applyList([LISTED], 51, { asOf: 4 });
    expect(getState(table)).to.equal("gone");
    table.applyList([LISTED], 52, { asOf: 6 });
    table.applyReport(buildReport({ measuredAt: 49 }), 53);
    expect(getState(table)).to.equal("gone");
    table.applyReport(buildReport({ measuredAt: 54 }), 55);
    expect(getState(table)).to.equal("cold");
  });

  it("keeps an endpoint that is not listed as gone, also in a new run", () => {
    const table = createWarmTable();
    table.applyList([], 50, { asOf: 5 });
    table.applyReport(buildReport({ instance: "e#2", measuredAt: 60 }), 61);
    expect(getState(table)).to.equal("gone");
  });

  it("believes the endpoint's own report rather than a count of calls", () => {
    const table = createWarmTable();
    const news = { endpointId: "e", instance: "e#1", news: "warm" as const };
    table.applyReport(buildReport({ state: "cold", measuredAt: 20 }), 21);
    table.applyNews(news, 30);
    table.applyGossip([buildFacts()], 60_000);
    expect(getState(table)).to.equal("cold");
  });

  it("takes warm from an entry or from gossip where nothing is reported", () => {
    const table = new EndpointTable();
    table.applyList([LISTED], 0);
    table.applyNews({ endpointId: "e", instance: "e#1", news: "warm" }, 1);
    expect(getState(table)).to.equal("warm");
    table.applyNews({ endpointId: "e", instance: "e#1", news: "cold" }, 2);
    table.applyGossip([buildFacts()], 3);
    expect(getState(table)).to.equal("cold");
    table.applyGossip([buildFacts()], 20_000);
    expect(getState(table)).to.equal("warm");
  });

  it("gives changes once, and news to neighbours for a while", () => {
    const table = createWarmTable();
    table.applyNews({ endpointId: "e", instance: "e#1", news: "silent" }, 50);
    table.applyNews({ endpointId: "e", instance: "e#1", news: "silent" }, 51);
    expect(table.takeChanges().map((it) => it.state)).to.deep.equal(["silent"]);
    expect(table.takeChanges()).to.deep.equal([]);
    expect(table.getNews(5_000)).to.have.length(1);
    expect(table.getNews(60_000)).to.have.length(0);
  });

  // Two controls tell each other that an endpoint is cold, while its reports say
  // warm in between. If gossip were passed on, the old news would go to and fro
  // for ever and the endpoint would never be used.
  it("does not pass on what it has from gossip", () => {
    const table = createWarmTable();
    table.applyGossip([buildFacts({ state: "cold" })], 50_000);
    expect(table.takeChanges().map((it) => it.state)).to.deep.equal(["cold"]);
    expect(table.getNews(50_000)).to.deep.equal([]);
  });

  it("ignores gossip from one who does not know the run", () => {
    const table = createWarmTable();
    for (const state of ["cold", "leaving", "silent"] as const) {
      table.applyGossip([buildFacts({ instance: "", state })], 20);
    }
    expect(table.getEndpoint("e")).to.include(
      { instance: "e#1", state: "warm" },
    );
  });

  // A control has just started and has had a report of the running instance. An
  // entry, or another control, still names the run before. If that were
  // taken for a restart, the running instance would count as a former one, and
  // the endpoint would get no work until it restarts.
  it("does not take late news of an earlier run for a restart", () => {
    const table = createWarmTable();
    const news = "silent" as const;
    table.applyNews({ endpointId: "e", instance: "e#0", news }, 20);
    table.applyGossip([buildFacts({ instance: "e#0" })], 20);
    expect(getState(table)).to.equal("cold");
    table.applyReport(buildReport({ measuredAt: 21 }), 22);
    expect(getState(table)).to.equal("warm");
  });

  it("remembers that a run leaves which it does not know yet", () => {
    const table = new EndpointTable();
    table.applyList([LISTED], 0);
    table.applyGossip([buildFacts({ state: "leaving" })], 1);
    table.applyReport(buildReport(), 11);
    expect(getState(table)).to.equal("leaving");
    table.applyReport(buildReport({ instance: "e#2", measuredAt: 20 }), 21);
    expect(getState(table)).to.equal("cold");
  });

  it("lets no news of cold hide that an endpoint is silent", () => {
    const table = createWarmTable();
    const of = { endpointId: "e", instance: "e#1" };
    table.applyNews({ ...of, news: "silent" }, 50);
    table.applyNews({ ...of, news: "cold" }, 51);
    table.applyGossip([buildFacts({ state: "cold" })], 52);
    table.applyReport(buildReport({ state: "cold", measuredAt: 49 }), 53);
    expect(getState(table)).to.equal("silent");
  });

  it("forgets endpoints that are gone for long", () => {
    const table = createWarmTable();
    table.applyList([], 50, { asOf: 5 });
    table.applyList([], 700_000, { asOf: 6 });
    expect(table.getEndpoints()).to.deep.equal([]);
  });
});
