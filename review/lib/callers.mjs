/** Callers: one attempt each, on connections that are kept open. */
import { Agent, request as sendRequest } from "node:http";
import { randomBytes } from "node:crypto";

export function createAttemptId() {
  return randomBytes(8).toString("hex");
}

export class Caller {
  #agent = new Agent({ keepAlive: true });

  /** Sends a request; settles when its answer ends or its connection closes. */
  send(address, { id, host, path, method = "POST", headers = {}, body }) {
    return new Promise((done) => {
      const fail = (error) =>
        done({ status: 0, body: "", isWhole: false, error });
      const sent = sendRequest(`http://${address}${path}`, {
        method,
        agent: this.#agent,
        headers: { host, "x-attempt-id": id, ...headers },
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => {});
        response.on("close", () =>
          done({
            status: response.statusCode,
            headers: response.headers,
            body: text,
            isWhole: response.complete,
          }));
      });
      sent.on("error", (error) => fail(error.message));
      sent.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
