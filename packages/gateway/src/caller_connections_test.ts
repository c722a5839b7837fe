import { expect } from "chai";
import { Socket } from "node:net";
import { CallerConnections } from "./caller_connections.ts";
import { ReadTurns } from "./read_turns.ts";

function createConnections(maxConnections = 10): CallerConnections {
  return new CallerConnections({
    maxConnections,
    maxHeadBytes: 1_000,
    turns: new ReadTurns(),
    getLimits: () => ({
      maxHeaderBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    }),
    handleClosed: () => {},
  });
}

describe("CallerConnections", () => {
  const sockets: Socket[] = [];

  function addSocket(connections: CallerConnections): Socket {
    const socket = new Socket();
    // It is not connected, so that what is written to it fails.
    socket.on("error", () => {});
    sockets.push(socket);
    connections.add(socket);
    return socket;
  }

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
  });

  // The rest of a head arrived after its caller had got 408, and its request ran.
  it("reads no request of a connection that was refused", () => {
    const connections = createConnections();
    const socket = addSocket(connections);
    expect(connections.mayAddRequest(socket)).to.equal(true);
    const error = Object.assign(new Error("Too slow"), {
      code: "ERR_HTTP_REQUEST_TIMEOUT",
    });
    connections.handleClientError(error, socket);
    expect(connections.mayAddRequest(socket)).to.equal(false);
  });

  it("reads none of a connection that closed for a newer one", () => {
    const connections = createConnections(1);
    const first = addSocket(connections);
    const second = addSocket(connections);
    expect(connections.mayAddRequest(first)).to.equal(false);
    expect(connections.mayAddRequest(second)).to.equal(true);
    expect(connections.size).to.equal(1);
  });
});
