import { SilentRelay } from "@sardinestep/testing/silent_relay";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { parseAddress } from "./address.ts";
import { Peers } from "./client.ts";
import type { Identity } from "./methods.ts";
import { openServer, type RpcServer } from "./server.ts";

const IDENTITY: Identity = {
  process: "control",
  vmId: "vm-1",
  zone: "zone-a",
  site: "yard",
  instance: "i-1",
  rpc: "127.0.0.1:1",
};
/** Quicker than the processes' own, and far longer than a busy machine stalls. */
const QUICK = { pingIntervalMs: 50, silentAfterMs: 700 };
const LIMIT = { timeoutMs: 60_000 };

describe("Peers behind connections that go silent", () => {
  let server: RpcServer;
  let relay: SilentRelay;
  let peers: Peers;
  let noticeClosed = (_reason: string) => {};

  beforeEach(async () => {
    const handlers = { ping: () => IDENTITY };
    server = await openServer("127.0.0.1:0", { handlers, ...QUICK });
    relay = await SilentRelay.open(parseAddress(server.address));
    peers = new Peers({ ...QUICK, onClosed: (reason) => noticeClosed(reason) });
  });

  afterEach(async () => {
    peers.close();
    await relay.close();
    await server.close();
  });

  // Controls tell each other nothing for minutes, and entries fetch no kept
  // result from one another: the one connection that they keep is open and
  // dead. Control to control and entry to entry both go by Peers.
  it("fail the waiting call and make the next one on a new connection", async () => {
    expect((await peers.call(relay.address, "ping", {}, LIMIT)).isOk()).to
      .equal(true);
    relay.silence();
    const lost = await peers.call(relay.address, "ping", {}, LIMIT);
    expect(lost.unwrapErr().kind).to.equal("lost");
    const again = await peers.call(relay.address, "ping", {}, LIMIT);
    expect(again.unwrap()).to.deep.equal(IDENTITY);
    expect(relay.silenced).to.equal(1);
  });

  // A leader works on a group for longer than a second; nothing else is said on
  // the connection. Depending on when it was looked at, it was never pinged and
  // counted as silent, and the group was lost although both ends were sound.
  it("keep a connection on which only a long call waits", async () => {
    const quick = { pingIntervalMs: 1_500, silentAfterMs: 2_700 };
    const callers = Array.from({ length: 6 }, () => new Peers(quick));
    let quickAnswers = callers.length;
    const slow = await openServer("127.0.0.1:0", {
      handlers: {
        ping: async () => {
          quickAnswers -= 1;
          if (quickAnswers < 0) await wait(4_500);
          return IDENTITY;
        },
      },
      pingIntervalMs: 60_000,
      silentAfterMs: 120_000,
    });
    const answers = await Promise.all(callers.map(async (caller, i) => {
      await caller.call(slow.address, "ping", {}, LIMIT);
      await wait(i * 250);
      return await caller.call(slow.address, "ping", {}, LIMIT);
    }));
    callers.forEach((caller) => caller.close());
    await slow.close();
    expect(answers.map((one) => one.isOk())).to.deep.equal(
      answers.map(() => true),
    );
  });

  it("notice it also while nobody calls", async () => {
    const closed = new Promise<string>((resolve) => noticeClosed = resolve);
    await peers.call(relay.address, "ping", {}, LIMIT);
    relay.silence();
    expect(await closed).to.equal("Silent connection");
  });
});
