import { expect } from "chai";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request as openRequest,
  type Server,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { AnswerWriter, formatRetryAfter } from "./answer_writer.ts";
import { type Truncation, TRUNCATION_CAUSE } from "./truncation.ts";

/** More than the kernel takes from a caller that does not read. */
const EVENT_BYTES = 8 * 1_048_576;
const CAUSE = { cause: TRUNCATION_CAUSE.endpointFailed } as const;

describe("formatRetryAfter", () => {
  // A caller that gets zero retries at once and is refused again.
  it("rounds the delay up and never to zero", () => {
    expect([0, 3, 10, 11, 50, 1_241, 600_000].map(formatRetryAfter))
      .to.deep.equal(
        ["0.01", "0.01", "0.01", "0.02", "0.05", "1.25", "600.00"],
      );
  });
});

describe("AnswerWriter without an account", () => {
  let server: Server;
  const truncations: Truncation[] = [];

  /** Opens a stream with one long event that is broken off at once. */
  async function openBrokenStream(withinMs: number): Promise<IncomingMessage> {
    truncations.length = 0;
    server = createServer((_request, response) => {
      const writer = new AnswerWriter(response, {
        handleTruncation: (truncation) => truncations.push(truncation),
      });
      writer.startStream(200, new Map());
      writer.writeChunk(Buffer.alloc(EVENT_BYTES, "e"));
      writer.abortWhenWritten(CAUSE, withinMs);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const sent = openRequest({ host: "127.0.0.1", port, agent: false });
    sent.on("error", () => {});
    sent.end();
    const [response] = await once(sent, "response") as [IncomingMessage];
    response.on("error", () => {});
    return response;
  }

  async function readLength(response: IncomingMessage): Promise<number> {
    let length = 0;
    response.on("data", (chunk: Buffer) => length += chunk.length);
    await new Promise((resolve) => response.once("close", resolve));
    return length;
  }

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // A slow caller lost events that had arrived before its stream broke off.
  it("writes all events of a stream before it breaks off", async () => {
    const response = await openBrokenStream(10_000);
    await wait(300);
    expect(await readLength(response)).to.equal(EVENT_BYTES);
    expect(response.complete).to.equal(false);
    expect(truncations).to.deep.equal([CAUSE]);
  });

  // A caller that doesn't read would keep its connection after its deadline.
  it("breaks a stream off at the latest when its time is over", async () => {
    const response = await openBrokenStream(200);
    await wait(400);
    expect(await readLength(response)).to.be.lessThan(EVENT_BYTES);
    expect(response.complete).to.equal(false);
    expect(truncations).to.deep.equal([CAUSE]);
  });
});
