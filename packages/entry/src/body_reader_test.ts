import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { readBody } from "./body_reader.ts";

const LIMITS = { maxBytes: 10, timeoutMs: 20 };

function createMessage(headers: Record<string, string> = {}) {
  const stream = new PassThrough();
  return {
    stream,
    message: Object.assign(stream, { headers }) as unknown as IncomingMessage,
  };
}

describe("readBody", () => {
  it("reads a body in one chunk, in several and an empty one", async () => {
    for (const chunks of [["sardine"], ["sar", "di", "ne"], []]) {
      const { stream, message } = createMessage();
      const read = readBody(message, LIMITS);
      for (const chunk of chunks) stream.write(chunk);
      stream.end();
      expect((await read).unwrap()).to.equal(chunks.join(""));
    }
  });

  it("refuses a body that is announced or grows too large", async () => {
    const announced = createMessage({ "content-length": "11" });
    const first = await readBody(announced.message, LIMITS);
    expect(first.unwrapErr()).to.equal("too_large");
    const grown = createMessage();
    const second = readBody(grown.message, LIMITS);
    grown.stream.write("0123456789a");
    expect((await second).unwrapErr()).to.equal("too_large");
  });

  // A caller sends half of a body and then nothing more, or closes: memory and a
  // place would be held for good.
  it("gives up on a caller that is too slow or vanishes", async () => {
    const slow = createMessage();
    slow.stream.write("sar");
    const first = await readBody(slow.message, LIMITS);
    expect(first.unwrapErr()).to.equal("too_slow");
    const gone = createMessage();
    const second = readBody(gone.message, { ...LIMITS, timeoutMs: 60_000 });
    gone.stream.write("sar");
    gone.stream.destroy();
    expect((await second).unwrapErr()).to.equal("vanished");
  });
});
