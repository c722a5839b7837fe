/**
 * A TCP relay for fault injection. It can drop all traffic of the connections
 * open at the time while new ones work, as a middlebox does that has lost their
 * state. It can also delay traffic, drop one direction, and reset connections.
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

interface Connection {
  readonly client: Socket;
  readonly upstream: Socket;
}

/**
 * Forwards connections to one port on loopback.
 *
 * @example
 * ```ts
 * const relay = await SilentRelay.open({ port: 7000 });
 * relay.silenceConnections();
 * ```
 */
export class SilentRelay {
  readonly #server: Server;
  readonly #connections = new Set<Connection>();
  readonly #sockets = new Set<Socket>();
  #silencedCount = 0;
  #delayMs = 0;
  #isHoldingAnswers = false;
  /** Delayed actions, in order of arrival. */
  readonly #delayed: (() => void)[] = [];

  private constructor(target: { readonly port: number }) {
    this.#server = createServer((client) =>
      this.#addConnection(client, target.port)
    );
  }

  /** Opens a relay on a free loopback port. */
  static async open(target: { readonly port: number }): Promise<SilentRelay> {
    const relay = new SilentRelay(target);
    relay.#server.listen(0, "127.0.0.1");
    await once(relay.#server, "listening");
    return relay;
  }

  /** Address to connect to instead of the target. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Number of open connections that are not silenced. */
  get openConnectionCount(): number {
    return this.#connections.size;
  }

  /** Number of connections silenced so far. */
  get silencedCount(): number {
    return this.#silencedCount;
  }

  /**
   * Drops all further traffic of the open connections. Neither end is notified:
   * no FIN or RST is forwarded.
   */
  silenceConnections(): void {
    for (const connection of this.#connections) {
      this.#connections.delete(connection);
      this.#silencedCount += 1;
      for (const socket of [connection.client, connection.upstream]) {
        socket.removeAllListeners("data");
        socket.resume();
      }
    }
  }

  /** Drops all further bytes from the target on the open connections. */
  dropAnswers(): void {
    for (const { upstream } of this.#connections) {
      upstream.removeAllListeners("data");
      upstream.resume();
    }
  }

  /**
   * Drops all bytes from the target on connections that open from now on, until it
   * is switched off; requests still arrive there.
   */
  setHoldingAnswers(isHolding: boolean): void {
    this.#isHoldingAnswers = isHolding;
  }

  /** Delays all traffic by this many milliseconds. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Resets both ends of all open connections. */
  reset(): void {
    for (const { client, upstream } of [...this.#connections]) {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    }
  }

  /** Closes the relay and all connections. */
  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    await closed;
  }

  #addConnection(client: Socket, port: number): void {
    const upstream = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    const connection = { client, upstream };
    this.#connections.add(connection);
    for (
      const [socket, other] of [[client, upstream], [upstream, client]] as const
    ) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      const isHeld = socket === upstream && this.#isHoldingAnswers;
      socket.on("data", (data) => {
        if (!isHeld) this.#forward(data, other);
      });
      // As on a network, an end is not delivered for a reset.
      socket.on("error", () => {
        if (this.#connections.has(connection)) other.resetAndDestroy();
      });
      socket.on(
        "end",
        () => this.#runDelayed(() => this.#closeConnection(connection)),
      );
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.#closeConnection(connection);
      });
    }
  }

  #forward(data: Buffer, other: Socket): void {
    this.#runDelayed(() => {
      if (!other.destroyed) other.write(data);
    });
  }

  /** Delays an action; keeps the order even if the delay is switched off. */
  #runDelayed(action: () => void): void {
    if (this.#delayMs === 0 && this.#delayed.length === 0) return action();
    this.#delayed.push(action);
    setTimeout(() => this.#delayed.shift()?.(), this.#delayMs);
  }

  /** Closes both sides when either ends, except on silenced connections. */
  #closeConnection(connection: Connection): void {
    if (!this.#connections.delete(connection)) return;
    // What has arrived is still delivered, as on a network.
    connection.client.destroySoon();
    connection.upstream.destroySoon();
  }
}
