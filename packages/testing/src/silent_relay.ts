/**
 * A TCP relay between two ends, whose open connections can go silent for good
 * while new ones work: as when something in between has lost track of them. It
 * can also delay, cut one way, and reset.
 *
 * @module
 */
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

interface Link {
  readonly near: Socket;
  readonly far: Socket;
}

/**
 * Forwards connections to one address.
 *
 * @example
 * ```ts
 * const relay = await SilentRelay.open({ port: 7000 });
 * relay.silence();
 * ```
 */
export class SilentRelay {
  readonly #server: Server;
  readonly #links = new Set<Link>();
  readonly #sockets = new Set<Socket>();
  #silenced = 0;
  #delayMs = 0;
  /** What is held back, in the order in which it came. */
  readonly #held: (() => void)[] = [];

  private constructor(target: { readonly port: number }) {
    this.#server = createServer((near) => this.#addLink(near, target.port));
  }

  /** Opens a relay on a free loopback port. */
  static async open(target: { readonly port: number }): Promise<SilentRelay> {
    const relay = new SilentRelay(target);
    relay.#server.listen(0, "127.0.0.1");
    await once(relay.#server, "listening");
    return relay;
  }

  /** Where to connect in place of the target. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Connections that are open and not silent. */
  get openLinks(): number {
    return this.#links.size;
  }

  /** Connections that were silenced so far. */
  get silenced(): number {
    return this.#silenced;
  }

  /**
   * Swallows from now on whatever comes on the open connections. Neither end is
   * told: no FIN and no RST passes.
   */
  silence(): void {
    for (const link of this.#links) {
      this.#links.delete(link);
      this.#silenced += 1;
      for (const socket of [link.near, link.far]) {
        socket.removeAllListeners("data");
        socket.resume();
      }
    }
  }

  /** Swallows from now on the far end's bytes on the open connections only. */
  cutAnswers(): void {
    for (const { far } of this.#links) {
      far.removeAllListeners("data");
      far.resume();
    }
  }

  /** Holds every byte back for some time, in milliseconds. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Resets all open connections, at both ends. */
  reset(): void {
    for (const { near, far } of [...this.#links]) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Ends the relay and all connections. */
  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    await closed;
  }

  #addLink(near: Socket, port: number): void {
    const far = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    const link = { near, far };
    this.#links.add(link);
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("data", (data) => this.#forward(data, other));
      socket.on("error", () => {});
      socket.on("end", () => this.#runLater(() => this.#closeLink(link)));
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.#closeLink(link);
      });
    }
  }

  #forward(data: Buffer, other: Socket): void {
    this.#runLater(() => {
      if (!other.destroyed) other.write(data);
    });
  }

  /** What comes later never leaves sooner, also when the delay ends meanwhile. */
  #runLater(run: () => void): void {
    if (this.#delayMs === 0 && this.#held.length === 0) return run();
    this.#held.push(run);
    setTimeout(() => this.#held.shift()?.(), this.#delayMs);
  }

  /** The end of one side ends the other, but for silenced connections. */
  #closeLink(link: Link): void {
    if (!this.#links.delete(link)) return;
    link.near.destroy();
    link.far.destroy();
  }
}
