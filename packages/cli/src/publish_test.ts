import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  buildConfiguration,
  buildInForce,
  CONTROLS,
  Files,
  type Run,
  type Script,
} from "./_scripted_caller.ts";
import { EXIT } from "./exit_codes.ts";

const [FIRST, SECOND] = CONTROLS;
const LOST = { ok: { kind: "lost", inForce: 5, author: "bjarni@console" } };
const ACCEPTED = { ok: { kind: "accepted", version: 5 } };

/** What control processes may do with a publish, and how the program exits. */
const CASES: Readonly<Record<string, { script: Script; exitCode: number }>> = {
  "accepted": {
    script: { [`${FIRST} publish`]: [ACCEPTED] },
    exitCode: EXIT.done,
  },
  "lost against another operator": {
    script: { [`${FIRST} publish`]: [LOST] },
    exitCode: EXIT.refused,
  },
  "refused as invalid": {
    script: {
      [`${FIRST} publish`]: [{
        ok: { kind: "invalid", faults: ["$.base: expected an object"] },
      }],
    },
    exitCode: EXIT.refused,
  },
  "log out of reach from every control": {
    script: {
      [`${FIRST} publish`]: [{ ok: { kind: "log_unavailable" } }],
      [`${SECOND} publish`]: [{ ok: { kind: "log_unavailable" } }],
    },
    exitCode: EXIT.unreachable,
  },
  "no control to be reached after the first look": {
    script: {},
    exitCode: EXIT.unreachable,
  },
  "sent and never read back": {
    script: { [`${FIRST} publish`]: ["timeout"] },
    exitCode: EXIT.unknown,
  },
  "unknown to the control itself": {
    script: { [`${FIRST} publish`]: [{ ok: { kind: "unknown" } }] },
    exitCode: EXIT.unknown,
  },
  "answered by the second control after the first one was lost": {
    script: {
      [`${FIRST} publish`]: ["lost"],
      [`${SECOND} publish`]: [ACCEPTED],
    },
    exitCode: EXIT.done,
  },
};

describe("config publish", () => {
  let files: Files;
  beforeEach(() => {
    files = new Files();
  });
  afterEach(() => files.remove());

  async function runPublish(
    script: Script,
    options: readonly string[] = [],
    controls: readonly string[] = CONTROLS,
  ): Promise<Run> {
    const configuration = buildConfiguration();
    configuration.base.customers["mill-a"].weight = 4;
    const path = files.write("new.json", configuration);
    return await files.run(["config", "publish", path, ...options], {
      [`${FIRST} configuration`]: [buildInForce(4, ["yard-b"])],
      ...script,
    }, controls);
  }

  for (const [title, { script, exitCode }] of Object.entries(CASES)) {
    it(`tells people and programs: ${title}`, async function () {
      const human = await runPublish(script);
      const program = await runPublish(script, ["--json"]);
      expect([human.exitCode, program.exitCode]).to.deep.equal([
        exitCode,
        exitCode,
      ]);
      expectSnapshot(this, {
        human: human.stdout + human.stderr,
        program: JSON.parse(program.stdout),
      });
    });
  }

  // An operator publishes and the answer does not come. The program asks
  // another control. Were that a new record, its base would be stale and the
  // operator would be told "lost" of a change that is in force.
  it("sends the same record to the next control after a timeout", async () => {
    const run = await runPublish({
      [`${FIRST} publish`]: ["timeout"],
      [`${SECOND} publish`]: [ACCEPTED],
    });
    const ids = run.caller.getCalls("publish").map((call) =>
      (call.params as { recordId: string }).recordId
    );
    expect(ids).to.deep.equal(["record-1", "record-1"]);
    expect(run.stdout).to.match(/^Accepted as version 5/);
  });

  // The first control appends the record, and its answer is lost. The record
  // becomes version 5. The second control judges the repeated copy, whose base
  // is 4, and says "lost" against the operator's own version.
  it("is not told that it lost against its own record", async () => {
    const history = [{ recordId: "record-1", version: 5 }];
    const run = await runPublish({
      [`${FIRST} publish`]: ["lost"],
      [`${SECOND} publish`]: [LOST],
      [`${SECOND} history`]: [{ ok: history }],
    });
    expect(run.stdout).to.match(/^Accepted as version 5/);
  });

  it("says unknown when it can't see whether its own record won", async () => {
    const run = await runPublish({
      [`${FIRST} publish`]: ["lost"],
      [`${SECOND} publish`]: [LOST],
    });
    expect(run.exitCode).to.equal(EXIT.unknown);
  });

  it("still says lost when the history shows that the record lost", async () => {
    const history = [{ recordId: "record-1" }, { recordId: "x", version: 5 }];
    const run = await runPublish({
      [`${FIRST} publish`]: ["lost"],
      [`${SECOND} publish`]: [LOST],
      [`${SECOND} history`]: [{ ok: history }],
    });
    expect(run.exitCode).to.equal(EXIT.refused);
  });

  // One operator takes zone yard-b out. Another one publishes a changed weight
  // from a file that says nothing of zones, and work flows into the zone again.
  it("keeps zones out that the file says nothing of", async () => {
    const run = await runPublish({ [`${FIRST} publish`]: [ACCEPTED] });
    const [call] = run.caller.getCalls("publish");
    expect(call.params).to.have.nested.property(
      "configuration.zonesOut[0]",
      "yard-b",
    );
  });

  // The log hangs. Each control finds that out by itself and takes seconds for
  // it; asked one after the other, nine of them kept an operator waiting for
  // almost a minute.
  it("asks two controls at most about a log that does not answer", async () => {
    const controls = Array.from(
      { length: 9 },
      (_, i) => `127.0.0.1:${7001 + i}`,
    );
    const unavailable = { ok: { kind: "log_unavailable" } };
    const scripted = controls.map((it) => [`${it} publish`, [unavailable]]);
    const run = await runPublish(Object.fromEntries(scripted), [], controls);
    expect(run.caller.getCalls("publish")).to.have.length(2);
    expect(run.exitCode).to.equal(EXIT.unreachable);
  });

  it("waits for four controls at most when nothing is certain", async () => {
    const controls = Array.from(
      { length: 9 },
      (_, i) => `127.0.0.1:${7001 + i}`,
    );
    const scripted = controls.map((it) => [`${it} publish`, ["timeout"]]);
    const run = await runPublish(Object.fromEntries(scripted), [], controls);
    expect(run.caller.getCalls("publish")).to.have.length(4);
    expect(run.exitCode).to.equal(EXIT.unknown);
  });

  it("sends base, note and author of the command line", async () => {
    const run = await runPublish({ [`${FIRST} publish`]: [ACCEPTED] }, [
      "--base",
      "3",
      "--note",
      "weights",
      "--author",
      "carl",
    ]);
    const [call] = run.caller.getCalls("publish");
    expect(call.params).to.include({
      base: 3,
      note: "weights",
      author: "carl",
    });
  });

  it("sends nothing when the file has faults", async function () {
    const path = files.write("bad.json", { base: {}, site: {} });
    const run = await files.run(["config", "publish", path], {
      [`${FIRST} configuration`]: [buildInForce(4)],
    });
    expect(run.caller.getCalls("publish")).to.deep.equal([]);
    expectSnapshot(this, run.stderr.replaceAll(files.folder, "FOLDER"));
  });
});
