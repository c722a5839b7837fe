import { expect } from "chai";
import {
  buildStreamKey,
  buildVersionTag,
  decideLookup,
  decideResume,
  isResume,
} from "./mod.ts";

const ENDPOINTS = [
  { id: "i-1", service: "engine", version: "v1" },
  { id: "i-2", service: "engine", version: "v2" },
  { id: "i-3", service: "engine", bornMs: 5 },
];
const getTags = () => ENDPOINTS.map(buildVersionTag);

describe("decideLookup", () => {
  it("waits for the first VM that knows the stream", () => {
    const options = { asked: 3, isOver: false };
    expect(decideLookup({ ...options, replies: [undefined] }))
      .to.equal(undefined);
    expect(decideLookup({ ...options, replies: [undefined, "t"] }))
      .to.deep.equal({ kind: "known", version: "t" });
  });

  it("ends at once when all VMs have replied that they don't know it", () => {
    const replies = [undefined, undefined];
    expect(decideLookup({ asked: 2, replies, isOver: false }))
      .to.deep.equal({ kind: "unknown", isPartial: false });
  });

  it("tells VMs that don't reply from VMs that don't know it", () => {
    expect(decideLookup({ asked: 2, replies: [undefined], isOver: true }))
      .to.deep.equal({ kind: "unknown", isPartial: true });
  });

  it("takes two versions for no knowledge", () => {
    expect(decideLookup({ asked: 2, replies: ["t", "u"], isOver: true }))
      .to.deep.equal({ kind: "unknown", isPartial: false });
  });
});

describe("decideResume", () => {
  it("goes on at the version that began the stream", () => {
    const [version] = getTags();
    expect(decideResume({ kind: "known", version: version! }, ENDPOINTS))
      .to.deep.equal({ kind: "resume", version });
  });

  // One version that is left is not taken for the one that began the stream.
  it("refuses what isn't known, also with a single version in service", () => {
    const lookup = { kind: "unknown" as const, isPartial: false };
    expect(decideResume(lookup, ENDPOINTS.slice(0, 1)))
      .to.deep.equal({ kind: "refused", reason: "unknown" });
    expect(decideResume({ ...lookup, isPartial: true }, ENDPOINTS))
      .to.deep.equal({ kind: "refused", reason: "unreachable" });
  });

  it("refuses a stream of a version without endpoints", () => {
    const version = buildVersionTag({ ...ENDPOINTS[0]!, version: "v0" });
    expect(decideResume({ kind: "known", version }, ENDPOINTS))
      .to.deep.equal({ kind: "refused", reason: "gone" });
  });
});

describe("buildVersionTag", () => {
  // An endpoint that names no version may run any after its restart.
  it("tells endpoints without a version, and their processes, apart", () => {
    const unnamed = ENDPOINTS[2]!;
    const tags = [
      ...getTags(),
      buildVersionTag({ ...unnamed, id: "i-4" }),
      buildVersionTag({ ...unnamed, bornMs: 6 }),
      buildVersionTag({ ...ENDPOINTS[0]!, service: "other" }),
    ];
    expect(new Set(tags).size).to.equal(tags.length);
  });
});

describe("buildStreamKey", () => {
  // An attempt id of another customer must find nothing.
  it("differs between customers", () => {
    const keys = ["one", "two", undefined]
      .map((customer) => buildStreamKey({ attemptId: "a", customer }));
    expect(new Set(keys).size).to.equal(3);
  });
});

describe("isResume", () => {
  it("holds for a request that names an attempt or an event", () => {
    expect(isResume({})).to.equal(false);
    expect(isResume({ attemptId: "a" })).to.equal(true);
    expect(isResume({ lastEventId: "0" })).to.equal(true);
  });
});
