import { expect } from "chai";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { closeIncomplete } from "./cut_response.ts";

const LAST_CHUNK = "0\r\n\r\n";

// A stream that was cut off looked complete to callers of HTTP/1.0.
describe("closeIncomplete", () => {
  for (const version of ["1.0", "1.1"]) {
    it(`shows callers of HTTP/${version} that a stream is cut off`, async () => {
      const server = createServer();
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const caller = connect(port, "127.0.0.1");
      const end = new Promise<string>((resolve) => {
        caller.once("error", () => resolve("reset"));
        caller.once("end", () => resolve("in order"));
      });
      caller.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
      const [, response] = await once(server, "request") as [
        unknown,
        ServerResponse,
      ];
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.write("id: 1\n\n");
      const [bytes] = await once(caller, "data") as [Buffer];
      closeIncomplete(response);
      server.close();
      const text = bytes.toString();
      const isChunked = /chunked/i.test(text);
      expect(isChunked).to.equal(version === "1.1");
      expect(text).not.to.include(LAST_CHUNK);
      if (!isChunked) expect(await end).to.equal("reset");
    });
  }
});
