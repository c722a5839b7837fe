import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import { buildSample } from "./_sample_configuration.ts";
import { parseConfiguration, resolveSite } from "./configuration.ts";
import { diffConfigurations, formatChange } from "./diff.ts";
import { formatFault } from "./fault.ts";

type Sample = ReturnType<typeof buildSample>;
type Break = (sample: Sample) => void;

/** What an operator may get wrong, each with the faults that name it. */
const BROKEN: Readonly<Record<string, Break>> = {
  "a stage of a service that does not exist": (sample) => {
    sample.base.pipelines.drafts.stages[0].service = "encoder";
  },
  "a service named like a method of every object": (sample) => {
    sample.base.pipelines.drafts.stages[0].service = "constructor";
  },
  "an offer of a pipeline that does not exist": (sample) => {
    sample.sites.yard.offers.push("draft");
  },
  "an overlay of a customer that does not exist": (sample) => {
    Object.assign(sample.sites.yard.customers, { "mill-c": { weight: 2 } });
  },
  "a zone out that no site has": (sample) => {
    sample.zonesOut.push("yard-z");
  },
  "a zone out twice": (sample) => {
    sample.zonesOut.push("yard-b");
  },
  "a draft that may not be repeated": (sample) => {
    sample.base.pipelines.drafts.stages[1].repeatable = false;
  },
  "two stages that may not be repeated": (sample) => {
    const [issue] = sample.base.pipelines["ticket-issue"].stages;
    sample.base.pipelines["ticket-issue"].stages.push({
      ...issue,
      name: "bill",
    });
  },
  "no stages": (sample) => {
    sample.base.pipelines.drafts.stages = [];
  },
  "seven stages": (sample) => {
    const [stage] = sample.base.pipelines.drafts.stages;
    sample.base.pipelines.drafts.stages = Array.from(
      { length: 7 },
      (_, index) => ({ ...stage, name: `encode-${index}` }),
    );
  },
  "two stages of one name": (sample) => {
    sample.base.pipelines.drafts.stages[1].name = "encode";
  },
  "a plain service without an operation": (sample) => {
    sample.base.pipelines["ticket-issue"].stages[0].operation = "";
  },
  "a model stage with an operation": (sample) => {
    Object.assign(sample.base.pipelines.drafts.stages[0], { operation: "x" });
  },
  "a name in upper case": (sample) => {
    Object.assign(sample.base.services, { Big: { role: "encoder" } });
  },
  "many faults at once": (sample) => {
    Object.assign(sample, { zoneOut: [] });
    Object.assign(sample.base.customers["mill-a"], { weight: "3", quota: 1 });
    Object.assign(sample.base.customers["mill-b"], { maxConcurrency: 0 });
    Object.assign(sample.base.pipelines.drafts, { requestClass: "batch" });
    Object.assign(sample.base.services.encoders, { role: undefined });
    sample.base.pipelines["ticket-issue"].stages[0].service = "ticket";
    sample.zonesOut = ["yard-z"];
  },
};

describe("configuration", () => {
  it("accepts a sound one and fills in defaults", function () {
    expectSnapshot(this, parseConfiguration(buildSample()).unwrap());
  });

  for (const [title, breakSample] of Object.entries(BROKEN)) {
    it(`names ${title}`, function () {
      const sample = buildSample();
      breakSample(sample);
      const faults = parseConfiguration(sample).unwrapErr();
      expectSnapshot(this, faults.map(formatFault));
    });
  }

  it("refuses what is no configuration at all", function () {
    const values = [undefined, null, 3, "base", [], {}];
    const lines = values.map((value) =>
      parseConfiguration(value).unwrapErr().map(formatFault)
    );
    expectSnapshot(this, lines);
  });

  it("applies the overlay of a site to the base", function () {
    const parsed = parseConfiguration(buildSample()).unwrap();
    expectSnapshot(this, resolveSite(parsed, "yard").unwrap());
  });

  it("finds no site that is only a method of every object", () => {
    const parsed = parseConfiguration(buildSample()).unwrap();
    expect(resolveSite(parsed, "constructor").unwrapErr()).to.equal(
      'Cannot find site "constructor": the sites are yard',
    );
  });
});

describe("differences of configurations", () => {
  it("names each value that was added, removed or changed", function () {
    const after = buildSample();
    after.zonesOut = [];
    after.sites.yard.offers.pop();
    after.base.pipelines.drafts.stages[1].expectedMs = 25;
    after.base.pipelines.drafts.stages.push(
      after.base.pipelines.drafts.stages[0],
    );
    Object.assign(after.base.customers, { "mill-b": undefined });
    Object.assign(after.base.customers, { "mill-c": { weight: 1 } });
    const changes = diffConfigurations(buildSample(), after);
    expectSnapshot(this, changes.map(formatChange));
  });

  it("finds none between equal ones", () => {
    const changes = diffConfigurations(buildSample(), buildSample());
    expect(changes).to.deep.equal([]);
  });
});
