/**
 * Stand-in for the platform's store: keyed topics with one partition, in memory.
 *
 * It serves the calls of the log form that the gateway makes: append, read with a
 * wait, and the newest record of each key. It loses nothing that it acknowledged.
 */
import { createServer } from "node:http";

const MAX_PAGE_ITEMS = 500;
/** Topics that only the operator and the workers write. */
const FOREIGN_TOPICS = new Set(["keyed.op", "keyed.servers"]);

export class Store {
  #topics = new Map();
  #waiters = new Map();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  constructor({ answerMs = 4 } = {}) {
    this.answerMs = answerMs;
  }

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Appends a record of the operator or of a worker; no value drops the key. */
  put(topic, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    const name = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([name.length]), name, bytes]);
    this.#append(topic, content);
  }

  #append(topic, content) {
    this.#getRecords(topic).push(content);
    for (const wake of this.#waiters.get(topic) ?? []) wake();
  }

  #getRecords(topic) {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    await new Promise((done) => setTimeout(done, this.answerMs));
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    switch (`${request.method} ${url.pathname}`) {
      case "POST /api/log-append":
        return this.#answerAppend(topic, url, Buffer.concat(chunks), response);
      case "GET /api/log-newest":
        return this.#answerNewest(topic, url, response);
      case "GET /api/log-read":
        return await this.#answerRead(topic, url, response);
      default:
        return sendJson(response, 404, {});
    }
  }

  #answerAppend(topic, url, body, response) {
    if (FOREIGN_TOPICS.has(topic)) return sendJson(response, 403, {});
    const records = this.#getRecords(topic);
    const at = url.searchParams.get("at");
    if (at !== null && Number(at) !== records.length) {
      return sendJson(response, 412, { endOffset: records.length });
    }
    const offset = records.length;
    for (let position = 0; position < body.length;) {
      const start = position + 4;
      position = start + body.readUInt32BE(position);
      this.#append(topic, body.subarray(start, position));
    }
    sendJson(response, 200, { offset, endOffset: records.length });
  }

  #answerNewest(topic, url, response) {
    const after = url.searchParams.get("after");
    const newest = new Map();
    const records = this.#getRecords(topic);
    records.forEach((content, offset) => {
      const start = 1 + content[0];
      const key = content.subarray(1, start).toString();
      const value = content.subarray(start);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString("base64"), offset });
    });
    const rest = [...newest.values()]
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter(({ key }) => after === null || key > after);
    sendJson(response, 200, {
      items: rest.slice(0, MAX_PAGE_ITEMS),
      hasMore: rest.length > MAX_PAGE_ITEMS,
      endOffset: records.length,
    });
  }

  async #answerRead(topic, url, response) {
    const from = Number(url.searchParams.get("from"));
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const records = this.#getRecords(topic);
    if (records.length <= from && waitMs > 0) {
      await this.#waitForRecord(topic, waitMs);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const parts = records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      return [length, content];
    });
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(Buffer.concat([head, ...parts]));
  }

  #waitForRecord(topic, waitMs) {
    const waiters = this.#waiters.get(topic) ?? new Set();
    this.#waiters.set(topic, waiters);
    return new Promise((done) => {
      const finish = () => {
        clearTimeout(timer);
        waiters.delete(finish);
        done();
      };
      const timer = setTimeout(finish, waitMs);
      waiters.add(finish);
    });
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
