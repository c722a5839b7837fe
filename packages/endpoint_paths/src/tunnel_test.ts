import { expect } from "chai";
import { once } from "node:events";
import {
  type AddressInfo,
  connect as openSocket,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import buildConnector from "undici/lib/core/connect.js";
import { buildConnectorWithTimeout } from "./timed_connect.ts";
import { openTunnel } from "./tunnel_client.ts";
import { openTunnelServer, type TunnelServer } from "./tunnel_server.ts";

const TIMEOUT_MS = 500;
/** Enough time for bytes to cross loopback, in milliseconds. */
const SETTLE_MS = 50;

async function listen(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Gives an address that refuses connections. */
async function findClosedAddress(): Promise<string> {
  const server = createServer();
  const address = await listen(server);
  server.close();
  return address;
}

describe("tunnels between VMs", () => {
  let endpoint: Server;
  let target: string;
  let relay: string;
  let tunnels: TunnelServer;
  let accepted: Socket[];
  let mayOpen: boolean;

  beforeEach(async () => {
    accepted = [];
    mayOpen = true;
    endpoint = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on("error", () => {});
      accepted.push(socket);
    });
    target = await listen(endpoint);
    relay = await findClosedAddress();
    tunnels = await openTunnelServer(relay, {
      connect: buildConnectorWithTimeout(
        buildConnector({ timeout: 0 }),
        TIMEOUT_MS,
      ),
      mayOpen: () => mayOpen,
    });
  });

  afterEach(() => {
    tunnels.close();
    for (const socket of accepted) socket.destroy();
    endpoint.close();
  });

  async function open(): Promise<Socket> {
    const opened = await openTunnel({ relay, target, timeoutMs: TIMEOUT_MS });
    const socket = opened.expect("tunnel");
    socket.on("error", () => {});
    await wait(SETTLE_MS);
    return socket;
  }

  it("pass on bytes in both directions", async () => {
    const caller = await open();
    caller.write("request");
    expect(String((await once(accepted[0]!, "data"))[0])).to.equal("request");
    accepted[0]!.write("answer");
    expect(String((await once(caller, "data"))[0])).to.equal("answer");
    expect(tunnels.size).to.equal(1);
    caller.destroy();
  });

  // The endpoint would go on with the request of a caller who has left.
  it("close at the endpoint when the caller leaves", async () => {
    const caller = await open();
    caller.destroy();
    await once(accepted[0]!.resume(), "end");
    await wait(SETTLE_MS);
    expect(tunnels.size).to.equal(0);
  });

  // An answer without a length would look complete.
  it("pass on a reset of the endpoint as a reset", async () => {
    const caller = await open();
    const failed = new Promise<Error>((resolve) =>
      caller.once("error", resolve)
    );
    caller.resume();
    accepted[0]!.resetAndDestroy();
    expect((await failed as NodeJS.ErrnoException).code)
      .to.equal("ECONNRESET");
  });

  // The relay would hold an answer in memory that its caller does not read.
  it("stop reading the endpoint while the caller does not read", async () => {
    const caller = await open();
    caller.pause();
    const size = 64 * 1_048_576;
    accepted[0]!.write(Buffer.alloc(size));
    await wait(SETTLE_MS * 4);
    expect(accepted[0]!.writableLength).to.be.greaterThan(0);
    let received = 0;
    const whole = new Promise<void>((resolve) =>
      caller.on("data", (chunk) => {
        received += chunk.length;
        if (received === size) resolve();
      })
    );
    caller.resume();
    await whole;
    caller.destroy();
  });

  it("tell an endpoint that is down from a relay that refuses", async () => {
    const down = await findClosedAddress();
    const options = { relay, timeoutMs: TIMEOUT_MS };
    const unreachable = await openTunnel({ ...options, target: down });
    mayOpen = false;
    const refused = await openTunnel({ ...options, target });
    const silent = await openTunnel({ ...options, relay: down, target });
    expect([unreachable, refused, silent].map((result) => result.unwrapErr()))
      .to.deep.equal(["unreachable", "refused", "silent"]);
  });

  // A pause of the endpoint looked like the end of its answer.
  it("count until their VM closes them, also while the endpoint pauses", async () => {
    const ended = await open();
    const paused = await open();
    paused.write("request");
    await once(accepted[1]!, "data");
    accepted[1]!.write("first event");
    await once(paused, "data");
    await wait(1_100);
    expect(tunnels.size).to.equal(2);
    ended.destroy();
    await wait(SETTLE_MS);
    expect(tunnels.size).to.equal(1);
    accepted[1]!.write("second event");
    expect(String((await once(paused, "data"))[0])).to.equal("second event");
    paused.destroy();
  });

  it("answer other requests with 404", async () => {
    const [host, port] = relay.split(":");
    const socket = openSocket(Number(port), host!);
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    expect(String((await once(socket, "data"))[0])).to.match(/^HTTP\/1.1 404/);
    socket.destroy();
  });
});
