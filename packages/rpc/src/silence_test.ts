import { SilentRelay } from "@sardinestep/testing/silent_relay";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { parseAddress } from "./address.ts";
import { PeerConnections } from "./client.ts";
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
/** Shorter than the production values, but far longer than a busy machine stalls. */
const FAST_TIMEOUTS = { pingIntervalMs: 50, silenceTimeoutMs: 700 };
const CALL_OPTIONS = { timeoutMs: 60_000 };

describe("PeerConnections over connections that go silent", () => {
  let server: RpcServer;
  let relay: SilentRelay;
  let peers: PeerConnections;
  let reportClosed = (_reason: string) => {};

  beforeEach(async () => {
    const handlers = { ping: () => IDENTITY };
    server = await openServer("127.0.0.1:0", { handlers, ...FAST_TIMEOUTS });
    relay = await SilentRelay.open(parseAddress(server.address));
    peers = new PeerConnections({
      ...FAST_TIMEOUTS,
      onClosed: (reason) => reportClosed(reason),
    });
  });

  afterEach(async () => {
    peers.close();
    await relay.close();
    await server.close();
  });

  // Control processes may exchange nothing for minutes, and entries may fetch no
  // kept result from each other, so their one connection can be open but dead.
  // Both control-to-control and entry-to-entry calls use PeerConnections.
  it("fails the pending call and makes the next call on a new connection", async () => {
    expect((await peers.call(relay.address, "ping", {}, CALL_OPTIONS)).isOk())
      .to
      .equal(true);
    relay.silenceConnections();
    const lost = await peers.call(relay.address, "ping", {}, CALL_OPTIONS);
    expect(lost.unwrapErr().kind).to.equal("lost");
    const retried = await peers.call(relay.address, "ping", {}, CALL_OPTIONS);
    expect(retried.unwrap()).to.deep.equal(IDENTITY);
    expect(relay.silencedCount).to.equal(1);
  });

  // A leader works on a group for longer than a second without other traffic on
  // the connection. Depending on the phase of the idle check, the connection was
  // never pinged and closed as silent, and the group was lost although both ends
  // were healthy.
  it("keeps a connection whose only pending call takes long", async () => {
    const timeouts = { pingIntervalMs: 1_500, silenceTimeoutMs: 2_700 };
    const callers = Array.from(
      { length: 6 },
      () => new PeerConnections(timeouts),
    );
    let remainingFastAnswers = callers.length;
    const slowServer = await openServer("127.0.0.1:0", {
      handlers: {
        ping: async () => {
          remainingFastAnswers -= 1;
          if (remainingFastAnswers < 0) await wait(4_500);
          return IDENTITY;
        },
      },
      pingIntervalMs: 60_000,
      silenceTimeoutMs: 120_000,
    });
    const answers = await Promise.all(callers.map(async (caller, i) => {
      await caller.call(slowServer.address, "ping", {}, CALL_OPTIONS);
      await wait(i * 250);
      return await caller.call(slowServer.address, "ping", {}, CALL_OPTIONS);
    }));
    callers.forEach((caller) => caller.close());
    await slowServer.close();
    expect(answers.map((answer) => answer.isOk())).to.deep.equal(
      answers.map(() => true),
    );
  });

  // The pause of a process passed for silence of the other one, whose answer was
  // there, and calls to a healthy leader were lost.
  it("keeps a connection whose answer arrived while the process was paused", async () => {
    const { silenceTimeoutMs } = FAST_TIMEOUTS;
    const healthy = await openServer("127.0.0.1:0", {
      handlers: {
        ping: () => {
          // Timers that are due run after an immediate and before sockets are read.
          setImmediate(() => {
            const until = performance.now() + silenceTimeoutMs + 100;
            while (performance.now() < until);
          });
          return IDENTITY;
        },
      },
      pingIntervalMs: 60_000,
      silenceTimeoutMs: 120_000,
    });
    const answer = await peers.call(healthy.address, "ping", {}, CALL_OPTIONS);
    await healthy.close();
    expect(answer.isOk()).to.equal(true);
  });

  it("detects the silent connection while no call is pending", async () => {
    const closed = new Promise<string>((resolve) => reportClosed = resolve);
    await peers.call(relay.address, "ping", {}, CALL_OPTIONS);
    relay.silenceConnections();
    expect(await closed).to.equal("Silent connection");
  });
});
