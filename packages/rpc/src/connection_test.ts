import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { callOnce, openConnection, PeerConnections } from "./client.ts";
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
/** Enough event loop turns for an unhandled rejection to be reported. */
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

  it("calls a method and returns its result", async () => {
    const server = await openPingServer();
    const answer = await callOnce(server.address, "ping", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrap()).to.deep.equal(IDENTITY);
  });

  it("returns not_sent when no server listens", async () => {
    const server = await openPingServer();
    await servers.pop()?.close();
    const answer = await callOnce(server.address, "ping", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrapErr().kind).to.equal("not_sent");
  });

  // A VM fails while its call to another VM is running. The library then rejects
  // an unawaited promise because the answer has no connection left: the answering
  // process ended with an unhandled rejection and lost all its requests.
  it("survives answering a caller that has disconnected", async () => {
    let reportAnswering = () => {};
    let release = () => {};
    const answering = new Promise<void>((done) => reportAnswering = done);
    const released = new Promise<void>((done) => release = done);
    const unhandled: unknown[] = [];
    const recordUnhandled = (error: unknown) => unhandled.push(error);
    process.on("unhandledRejection", recordUnhandled);
    const server = await openServer(LOOPBACK, {
      handlers: {
        ping: async () => {
          reportAnswering();
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
    process.off("unhandledRejection", recordUnhandled);
    expect(unhandled).to.deep.equal([]);
  });

  it("returns failed for an unknown method", async () => {
    const server = await openPingServer();
    const answer = await callOnce(server.address, "history", {}, {
      timeoutMs: 5_000,
    });
    expect(answer.unwrapErr().kind).to.equal("failed");
  });

  it("uses a new connection after the remote process restarted", async () => {
    const server = await openPingServer();
    let reportClosed = () => {};
    const closed = new Promise<void>((resolve) => reportClosed = resolve);
    const peers = new PeerConnections({ onClosed: () => reportClosed() });
    const callOptions = { timeoutMs: 5_000 };
    await peers.call(server.address, "ping", {}, callOptions);
    await servers.pop()?.close();
    await closed;
    const handlers = { ping: () => ({ ...IDENTITY, instance: "i-2" }) };
    servers.push(await openServer(server.address, { handlers }));
    const answer = await peers.call(server.address, "ping", {}, callOptions);
    peers.close();
    expect(answer.unwrap().instance).to.equal("i-2");
  });

  // The process would spend its time on a message without an end.
  it("closes a connection whose message has no end", async () => {
    const server = await openEndlessServer();
    let handleClosed: (reason: string) => void = () => {};
    const closed = new Promise<string>((resolve) => handleClosed = resolve);
    await openConnection(server.address, { onClosed: handleClosed });
    expect(await closed).to.equal("Received an oversized message");
    await server.close();
  });

  // An entry received no updates for minutes although control was running: a
  // device between the two had lost the connection's state, so nothing came back,
  // neither FIN nor RST. Without pings, the pending call would hang until its own,
  // longer timeout.
  it("closes a silent connection and fails its calls as lost", async () => {
    const silentServer = await openSilentServer();
    const opened = await openConnection(silentServer.address, {
      pingIntervalMs: 10,
      silenceTimeoutMs: 50,
    });
    const answer = await opened.unwrap().call("ping", {}, {
      timeoutMs: 60_000,
    });
    await silentServer.close();
    expect(answer.unwrapErr()).to.deep.equal({
      kind: "lost",
      message: "Silent connection",
    });
  });
});

async function openSilentServer() {
  return await openRawServer((socket) => socket.resume());
}

/** Sends bytes without a line end until its peer closes. */
async function openEndlessServer() {
  const bytes = Buffer.alloc(65_536, "x");
  return await openRawServer((socket) => {
    const send = () => {
      if (!socket.destroyed) socket.write(bytes, () => setImmediate(send));
    };
    send();
  });
}

async function openRawServer(handle: (socket: Socket) => void) {
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    handle(socket);
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
