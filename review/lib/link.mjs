/** A link between two processes whose packets can be lost and sent again. */
import { connect, createServer } from "node:net";

export class Link {
  #target;
  #sockets = new Set();
  #server = createServer((near) => this.#open(near));
  /** Gives the time after which an answer's bytes are sent again, in ms; 0 if not lost. */
  planDelay = () => 0;

  /** @param target Address at the far end. */
  constructor(target) {
    const [host, port] = target.split(":");
    this.#target = { host, port: Number(port) };
  }

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #open(near) {
    const far = connect(this.#target);
    let asked = "";
    for (const [socket, other] of [[near, far], [far, near]]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
    near.on("data", (bytes) => {
      asked = bytes.toString("latin1").split("\r\n", 1)[0];
      far.write(bytes);
    });
    // What follows a lost packet waits for it.
    let freeAt = 0;
    far.on("data", (bytes) => {
      const now = performance.now();
      freeAt = Math.max(freeAt, now + this.planDelay(asked));
      if (freeAt <= now) near.write(bytes);
      else setTimeout(() => near.write(bytes), freeAt - now);
    });
  }
}
