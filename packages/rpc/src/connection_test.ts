import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { callOnce, openConnection, Peers } from "./client.ts";
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
const LOOPBACK = "127.0.0.1:0";
/** Enough turns of the loop for a rejection to be reported, in milliseconds. */
const SETTLE_MS = 20;

describe("rpc", () => {
  const servers: RpcServer[] = [];

  async function openPingServer(): Promise<RpcServer> {
    const handlers = { ping: () => IDENTITY };
    const server = await openServer(LOOPBACK, { handlers });
    servers.push(server);
    return server;
  }

  afterEach(async () => {
    for (const server of servers.splice(0)) await server.close();
  });

  it("calls a method and gives its result", async () => {
    const server = await openPingServer();
    const answer = await callOnce(server.address, "ping", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrap()).to.deep.equal(IDENTITY);
  });

  it("says not_sent when nobody listens", async () => {
    const server = await openPingServer();
    await servers.pop()?.close();
    const answer = await callOnce(server.address, "ping", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrapErr().kind).to.equal("not_sent");
  });

  // A VM calls another one and dies while the call runs. When the answer is ready
  // there is no connection for it, and the library rejects what nobody awaits:
  // the process that answered ended, and with it every request that it held.
  it("survives an answer to a caller that is gone", async () => {
    let noteAnswering = () => {};
    let release = () => {};
    const answering = new Promise<void>((done) => noteAnswering = done);
    const released = new Promise<void>((done) => release = done);
    const unhandled: unknown[] = [];
    const note = (error: unknown) => unhandled.push(error);
    process.on("unhandledRejection", note);
    const server = await openServer(LOOPBACK, {
      handlers: {
        ping: async () => {
          noteAnswering();
          await released;
          return IDENTITY;
        },
      },
    });
    servers.push(server);
    const caller = (await openConnection(server.address)).unwrap();
    const call = caller.call("ping", {}, { timeoutMs: 5_000 });
    await answering;
    caller.close();
    expect((await call).unwrapErr().kind).to.equal("lost");
    await server.close();
    release();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    process.off("unhandledRejection", note);
    expect(unhandled).to.deep.equal([]);
  });

  it("gives the error of an unknown method as failed", async () => {
    const server = await openPingServer();
    const answer = await callOnce(server.address, "history", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrapErr().kind).to.equal("failed");
  });

  it("uses a new connection after the other process started again", async () => {
    const server = await openPingServer();
    let noticeClosed = () => {};
    const closed = new Promise<void>((resolve) => noticeClosed = resolve);
    const peers = new Peers({ onClosed: () => noticeClosed() });
    const limit = { timeoutMs: 5_000 };
    await peers.call(server.address, "ping", {}, limit);
    await servers.pop()?.close();
    await closed;
    const handlers = { ping: () => ({ ...IDENTITY, instance: "i-2" }) };
    servers.push(await openServer(server.address, { handlers }));
    const answer = await peers.call(server.address, "ping", {}, limit);
    peers.close();
    expect(answer.unwrap().instance).to.equal("i-2");
  });

  // An operator sees an entry that has no news for minutes although control
  // runs. A device between the two has lost track of the connection: bytes
  // go out and nothing comes back, neither FIN nor RST. Without pings the
  // waiting call would hang until its own, longer limit.
  it("ends a silent connection and fails its calls as lost", async () => {
    const silent = await openSilentServer();
    const opened = await openConnection(silent.address, {
      pingIntervalMs: 10,
      silentAfterMs: 50,
    });
    const answer = await opened.unwrap().call("ping", {}, {
      timeoutMs: 60_000,
    });
    await silent.close();
    expect(answer.unwrapErr()).to.deep.equal({
      kind: "lost",
      message: "Silent connection",
    });
  });
});

async function openSilentServer() {
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.resume();
    socket.on("error", () => {});
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const bound = server.address();
  const port = typeof bound === "object" ? bound?.port : 0;
  const close = async () => {
    for (const socket of sockets) socket.destroy();
    server.close();
    await once(server, "close");
  };
  return { address: `127.0.0.1:${port}`, close };
}
