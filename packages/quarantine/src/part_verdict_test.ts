import { expect } from "chai";
import {
  buildPartKeys,
  type Crash,
  CrashLog,
  findPoisonParts,
  isPartKey,
  type PartEvidence,
} from "./mod.ts";

const NONE: ReadonlySet<string> = new Set();
const GAP_MS = 500;

/** Builds crashes from the requests they lost, such as "r1:a,p". */
function buildCrashes(
  all: readonly (readonly string[])[],
  gapMs = GAP_MS,
): Crash[] {
  return all.map((requests, index) => ({
    id: `e${index}`,
    service: "engine",
    at: index * gapMs,
    isVoid: false,
    suspects: requests.map((text) => {
      const [fingerprint, parts = ""] = text.split(":");
      return {
        fingerprint: fingerprint!,
        runMs: 100,
        isCleared: false,
        parts: parts.split(","),
      };
    }),
  }));
}

function find(
  crashes: readonly Crash[],
  options: Partial<PartEvidence> = {},
): string[] {
  return findPoisonParts({
    crashes,
    known: NONE,
    onProbation: NONE,
    isAnswering: () => true,
    ...options,
  }).map(({ part }) => part);
}

function clear(crashes: readonly Crash[], ...clearedParts: string[]): Crash[] {
  return crashes.map((crash) => ({ ...crash, clearedParts }));
}

describe("findPoisonParts", () => {
  it("finds a part that different requests have in three crashes", () => {
    const crashes = buildCrashes([
      ["r1:a,p"],
      ["r1:a,p", "s1:a,x"],
      ["r2:a,p", "s2:a,y"],
    ]);
    expect(find(clear(crashes.slice(0, 2), "a"))).to.deep.equal([]);
    expect(find(clear(crashes, "a"))).to.deep.equal(["p"]);
  });

  // The first part is in every crash, in the sound requests too.
  it("spares a part on which answers were written", () => {
    const crashes = buildCrashes([
      ["r1:a,p", "s1:a,x"],
      ["r2:a,p", "s2:a,x"],
      ["r3:a,p", "s3:a,x"],
      ["r4:a,p"],
    ]);
    expect(find(clear(crashes, "a"))).to.deep.equal(["p"]);
  });

  it("blames the more specific part while nothing is answered", () => {
    const crashes = buildCrashes([
      ["r1:a,p", "s1:a,x"],
      ["r2:a,p", "s2:a,y"],
      ["r3:a,p", "s3:a,z"],
      ["r4:a,p", "s4:a,w"],
      ["r5:a,p"],
    ]);
    const isAnswering = () => false;
    expect(find(crashes, { isAnswering })).to.deep.equal(["p"]);
  });

  // Equal requests are judged as a whole; their parts may be innocent.
  it("spares the parts of one request that is repeated", () => {
    const crashes = buildCrashes(Array.from({ length: 6 }, () => ["r:a,x"]));
    expect(find(crashes)).to.deep.equal([]);
  });

  // A hot part is in every request of a pool that dies with its zone.
  it("spares parts of endpoints that crash at the same moment", () => {
    const lost = Array.from({ length: 9 }, (_, i) => [`r${i}:a,hot`]);
    expect(find(buildCrashes(lost, 5))).to.deep.equal([]);
  });

  it("spares a part that all requests share while nothing is answered", () => {
    const lost = Array.from({ length: 6 }, (_, i) => [`r${i}:a,x${i}`]);
    const isAnswering = () => false;
    expect(find(buildCrashes(lost), { isAnswering })).to.deep.equal([]);
  });

  it("finds a first part whose requests have different others", () => {
    const lost = Array.from({ length: 5 }, (_, i) => [`r${i}:p,x${i}`]);
    expect(find(buildCrashes(lost))).to.deep.equal(["p"]);
  });

  it("finds two parts, in different requests and in one", () => {
    const apart = buildCrashes([
      ["r1:a,p"],
      ["q1:a,q"],
      ["r2:a,p"],
      ["q2:a,q"],
      ["r3:a,p"],
      ["q3:a,q"],
    ]);
    expect(find(clear(apart, "a"))).to.have.members(["p", "q"]);
    const together = buildCrashes(
      Array.from({ length: 5 }, (_, i) => [`r${i}:a,p,q`]),
    );
    const first = find(clear(together, "a"));
    expect(first).to.have.length(1);
    const alone = buildCrashes([["r8:a,p"], ["r9:a,p"], ["r10:a,p"]])
      .map((crash, i) => ({ ...crash, id: `f${i}`, at: 9_000 + 500 * i }));
    const all = clear([...together, ...alone], "a");
    expect(find(all)).to.include("p");
  });

  // A part that only came along with the cause was blamed first.
  it("finds the cause with the next crash after a part that came with it", () => {
    const together = buildCrashes(
      Array.from({ length: 5 }, (_, i) => [`r${i}:p,s`]),
    );
    const known = new Set(find(together));
    expect([...known]).to.deep.equal(["s"]);
    const next = { ...buildCrashes([["r9:p,t"]])[0]!, id: "e9", at: 9_000 };
    expect(find([...together, next], { known })).to.deep.equal(["p"]);
  });

  it("needs one crash of a part on probation", () => {
    const crashes = clear(buildCrashes([["r1:a,p"]]), "a");
    expect(find(crashes, { onProbation: new Set(["p"]) }))
      .to.deep.equal(["p"]);
  });

  // An innocent request that runs beside the cause is lost with it again and again.
  it("spares a session that was lost in some of the crashes", () => {
    const crashes = buildCrashes([
      ["r1:a,p", "s1:a,x"],
      ["r2:a,p", "s2:a,x"],
      ["r3:a,p", "s3:a,x"],
      ["r4:a,p"],
      ["r5:a,p"],
    ]);
    expect(find(clear(crashes, "a"))).to.deep.equal(["p"]);
  });
});

describe("CrashLog with prompt parts", () => {
  function recordCrashes(log: CrashLog, count: number, version?: string): void {
    for (
      const { suspects, ...crash } of buildCrashes(
        Array.from({ length: count }, (_, i) => [`r${i}:a,p`]),
      )
    ) {
      log.record({ ...crash, version, suspects }, crash.at);
    }
  }

  function findSettled(log: CrashLog, now: number): string[] {
    const isAnswering = (crash: Crash) => log.isAnswering(crash, now);
    return find(log.getSettled(now), { isAnswering });
  }

  it("clears a part by an answer to another request, here or at another VM", () => {
    const [here, there] = [new CrashLog(), new CrashLog()];
    const sound = { service: "engine", fingerprint: "s", parts: ["a", "x"] };
    there.recordCompletion(sound, 0);
    recordCrashes(here, 5);
    there.merge(here.getUpdates(1_900)!, 1_900);
    here.merge(there.getUpdates(1_900)!, 1_900);
    for (const crash of here.getAll()) {
      expect(crash.clearedParts).to.deep.equal(["a"]);
    }
    expect(findSettled(here, 4_000)).to.deep.equal(["p"]);
  });

  it("clears a part after its crashes too", () => {
    const log = new CrashLog();
    recordCrashes(log, 5);
    const answered = { service: "engine", fingerprint: "s", parts: ["p"] };
    log.recordCompletion(answered, 3_000);
    expect(findSettled(log, 4_000)).not.to.include("p");
  });

  // A part may crash the endpoints of one version only.
  it("doesn't clear a part by an answer of another version", () => {
    const log = new CrashLog();
    recordCrashes(log, 5, "v2");
    const answered = { service: "engine", fingerprint: "s", version: "v1" };
    log.recordCompletion({ ...answered, parts: ["a", "p"] }, 3_000);
    expect(findSettled(log, 4_000)).to.deep.equal(["p"]);
  });

  it("keeps evidence of parts in bounded memory", () => {
    const log = new CrashLog();
    recordCrashes(log, 1_000);
    expect(log.getAll().length).to.be.at.most(256);
  });
});

describe("buildPartKeys", () => {
  it("leaves the last part out, and tells models and services apart", () => {
    const partIds = ["5c1e", "91bd", "e440"];
    const keys = buildPartKeys({ service: "engine", model: "m", partIds });
    expect(keys).to.have.length(2);
    expect(keys.every(isPartKey)).to.equal(true);
    const others = [
      ...buildPartKeys({ service: "engine", model: "n", partIds }),
      ...buildPartKeys({ service: "other", model: "m", partIds }),
    ];
    expect(others.filter((key) => keys.includes(key))).to.deep.equal([]);
  });

  it("bounds the number of parts and the length of their keys", () => {
    const partIds = Array.from({ length: 500 }, (_, i) => `${i}`.repeat(200));
    const keys = buildPartKeys({ service: "engine", partIds });
    expect(keys).to.have.length(16);
    expect(Math.max(...keys.map((key) => key.length))).to.equal(17);
  });
});
