import { expect } from "chai";
import { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import type { buildConnector } from "undici";
import { buildTimedConnect } from "./timed_connect.ts";

const TIMEOUT_MS = 20;
const OPTIONS = { hostname: "a", protocol: "http:", port: "1" };

/** A connector whose handshakes end when the test says so. */
function createConnector() {
  const socket = new Socket();
  const calls: buildConnector.Callback[] = [];
  const connector = (
    _: buildConnector.Options,
    callback: buildConnector.Callback,
  ) => {
    calls.push(callback);
    return socket;
  };
  return {
    socket,
    calls,
    connector: connector as unknown as buildConnector.connector,
  };
}

describe("buildTimedConnect", () => {
  // A zone's endpoints go dark: no reset comes, and no answer to a handshake. A
  // request waits for its connection until the bound of the library, which is
  // looked at twice a second, and reaches another endpoint 700 ms later.
  it("gives up a handshake that gets no answer, once", async () => {
    const { socket, calls, connector } = createConnector();
    const results: (Error | null)[] = [];
    const connect = buildTimedConnect(connector, TIMEOUT_MS);
    connect(OPTIONS, (...[error]) => results.push(error));
    await wait(TIMEOUT_MS * 2);
    expect(results.map(String)).to.deep.equal([
      "Error: No connection within 20 ms",
    ]);
    expect(socket.destroyed).to.equal(true);
    calls[0]!(null, socket);
    expect(results).to.have.length(1);
  });

  it("hands on what came in time", async () => {
    const { socket, calls, connector } = createConnector();
    const results: unknown[] = [];
    const connect = buildTimedConnect(connector, TIMEOUT_MS);
    connect(OPTIONS, (...result) => results.push(result));
    calls[0]!(null, socket);
    await wait(TIMEOUT_MS * 2);
    expect(results).to.deep.equal([[null, socket]]);
    expect(socket.destroyed).to.equal(false);
    socket.destroy();
  });
});
