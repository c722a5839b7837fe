/**
 * A small stand-in for the platform's store: keyed topics with one partition each,
 * over the published calls log-append, log-read and log-newest.
 */
import { EventEmitter, once } from "node:events";
import { createServer } from "node:http";

const STATUS_GONE = 410;
const STATUS_PRECONDITION = 412;
const READ_HEADER_BYTES = 16;

export class Store {
  #topics = new Map();
  #appends = new EventEmitter().setMaxListeners(0);
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  address = "";

  async start() {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Appends a record as the operator or a server does; no value drops the key. */
  put(topic, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    const name = Buffer.from(key);
    const content = Buffer.concat([Buffer.of(name.length), name, bytes]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    this.#getRecords(topic).push({
      key,
      bytes,
      encoded: Buffer.concat([length, content]),
    });
    this.#appends.emit(topic);
  }

  /** Number of keys that a topic holds. */
  countKeys(topic) {
    return this.#getNewest(topic).size;
  }

  #getRecords(topic) {
    if (!this.#topics.has(topic)) this.#topics.set(topic, []);
    return this.#topics.get(topic);
  }

  #getNewest(topic) {
    const newest = new Map();
    this.#getRecords(topic).forEach(({ key, bytes }, offset) => {
      if (bytes.length === 0) newest.delete(key);
      else newest.set(key, { key, value: bytes.toString("base64"), offset });
    });
    return newest;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    switch (url.pathname) {
      case "/api/log-append":
        return this.#append(topic, url, Buffer.concat(chunks), response);
      case "/api/log-newest":
        return sendJson(response, 200, {
          items: [...this.#getNewest(topic).values()],
          hasMore: false,
          endOffset: this.#getRecords(topic).length,
        });
      case "/api/log-read":
        return await this.#read(topic, url, response);
      default:
        response.writeHead(404).end();
    }
  }

  #append(topic, url, body, response) {
    const records = this.#getRecords(topic);
    const at = url.searchParams.get("at");
    if (at !== null && Number(at) !== records.length) {
      const answer = { endOffset: records.length };
      return sendJson(response, STATUS_PRECONDITION, answer);
    }
    const offset = records.length;
    for (let i = 0; i < body.length;) {
      const length = body.readUInt32BE(i);
      const content = body.subarray(i + 4, i + 4 + length);
      const keyEnd = 1 + content[0];
      this.put(
        topic,
        content.subarray(1, keyEnd).toString(),
        Buffer.from(content.subarray(keyEnd)),
      );
      i += 4 + length;
    }
    sendJson(response, 200, { offset, endOffset: records.length });
  }

  async #read(topic, url, response) {
    const records = this.#getRecords(topic);
    const from = Number(url.searchParams.get("from"));
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    if (from > records.length) {
      return sendJson(response, STATUS_GONE, { firstOffset: 0 });
    }
    if (from === records.length && waitMs > 0) {
      const signal = AbortSignal.timeout(waitMs);
      await once(this.#appends, topic, { signal }).catch(() => {});
    }
    const header = Buffer.alloc(READ_HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(records.length), 0);
    response.end(Buffer.concat([
      header,
      ...records.slice(from).map(({ encoded }) => encoded),
    ]));
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
