import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  type Answer,
  buildInForce,
  CONTROLS,
  Files,
} from "./_scripted_caller.ts";
import { EXIT } from "./exit_codes.ts";

const [FIRST] = CONTROLS;
const LOST = { ok: { kind: "lost", inForce: 5, author: "bjarni@console" } };

describe("zone out and in", () => {
  let files: Files;
  beforeEach(() => {
    files = new Files();
  });
  afterEach(() => files.remove());

  async function runZone(
    argv: readonly string[],
    answers: { inForce: readonly Answer[]; publish?: readonly Answer[] },
  ) {
    return await files.run(["zone", ...argv], {
      [`${FIRST} configuration`]: answers.inForce,
      [`${FIRST} publish`]: answers.publish ?? [{
        ok: { kind: "accepted", version: 6 },
      }],
    });
  }

  function getZonesOut(params: unknown): unknown {
    return (params as { configuration: { zonesOut: unknown } }).configuration
      .zonesOut;
  }

  it("takes a zone out beside those that are out", async () => {
    const run = await runZone(["out", "yard-a"], {
      inForce: [buildInForce(5, ["yard-b"])],
    });
    const [call] = run.caller.getCalls("publish");
    expect(getZonesOut(call.params)).to.deep.equal(["yard-b", "yard-a"]);
    expect(run.stdout).to.equal(
      'Accepted as version 6: zone "yard-a" is out\n',
    );
  });

  // Two operators change the configuration at the same moment. The one who
  // takes the zone out loses; were the old configuration sent again, the
  // winner's change would be undone.
  it("runs a lost race again on top of the winner's version", async function () {
    const run = await runZone(["out", "yard-a"], {
      inForce: [buildInForce(4), buildInForce(5, ["yard-b"])],
      publish: [LOST, { ok: { kind: "accepted", version: 6 } }],
    });
    const sent = run.caller.getCalls("publish").map((call) => call.params);
    expect(sent.map(getZonesOut)).to.deep.equal([
      ["yard-a"],
      ["yard-b", "yard-a"],
    ]);
    expectSnapshot(this, { progress: run.progress, stdout: run.stdout });
  });

  it("gives up after five lost races and says against whom", async function () {
    const run = await runZone(["out", "yard-a"], {
      inForce: [buildInForce(4)],
      publish: [LOST],
    });
    expect(run.caller.getCalls("publish")).to.have.length(5);
    expect(run.exitCode).to.equal(EXIT.refused);
    expectSnapshot(this, run.stderr);
  });

  it("publishes nothing for a zone that is out already", async () => {
    const run = await runZone(["out", "yard-b"], {
      inForce: [buildInForce(5, ["yard-b"])],
    });
    expect(run.caller.getCalls("publish")).to.deep.equal([]);
    expect(run.exitCode).to.equal(EXIT.done);
  });

  it("brings a zone in and keeps fields it does not know", async () => {
    const inForce = buildInForce(5, ["yard-b"]) as {
      ok: { configuration: object };
    };
    Object.assign(inForce.ok.configuration, { ofNewerVersion: 1 });
    const run = await runZone(["in", "yard-b", "--json"], {
      inForce: [inForce],
    });
    const [call] = run.caller.getCalls("publish");
    expect(getZonesOut(call.params)).to.deep.equal([]);
    expect(call.params).to.have.nested.property("configuration.ofNewerVersion");
    expect(JSON.parse(run.stdout)).to.include({ code: 0, version: 6 });
  });

  // Of three zones one is out. Two operators each take one of the others out at
  // the same moment, both looking at the same version. Were the loser's change
  // put on top of the winner's, the site would have no zone left.
  it("refuses the last zone, also on top of a winner's version", async function () {
    const run = await runZone(["out", "yard-a"], {
      inForce: [
        buildInForce(4, ["yard-b"]),
        buildInForce(5, ["yard-b", "yard-c"]),
      ],
      publish: [LOST],
    });
    expect(run.caller.getCalls("publish")).to.have.length(1);
    expect(run.exitCode).to.equal(EXIT.refused);
    expectSnapshot(this, run.stderr);
  });

  it("takes the last zone out when that is said", async () => {
    const run = await runZone(["out", "yard-a", "--even-last"], {
      inForce: [buildInForce(5, ["yard-b", "yard-c"])],
    });
    expect(run.exitCode).to.equal(EXIT.done);
  });

  it("names the zones there are when asked for another", async function () {
    const run = await runZone(["out", "yard-z"], {
      inForce: [buildInForce(5)],
    });
    expect(run.exitCode).to.equal(EXIT.refused);
    expectSnapshot(this, run.stderr);
  });
});
