/**
 * Closes of callers' connections that are announced in an answer.
 *
 * @module
 */

/** A request of a connection. */
export interface ConnectionRequest<C> {
  readonly connection: C;
}

/**
 * Decides which answer may announce the close of its connection.
 *
 * A connection closes after the answer that announces it. Requests that are at work
 * behind that answer would get none, so only the newest request may announce it, and
 * what arrives later must not run.
 *
 * @example
 * ```ts
 * const closes = new ConnectionCloses();
 * const first = closes.addRequest(socket);
 * const second = closes.addRequest(socket);
 * closes.mayAnnounce(first!); // false
 * closes.mayAnnounce(second!); // true
 * closes.addRequest(socket); // undefined
 * ```
 */
export class ConnectionCloses<C extends object> {
  readonly #newest = new WeakMap<C, ConnectionRequest<C>>();
  readonly #closing = new WeakSet<C>();

  /**
   * Adds a request that arrived.
   *
   * @returns The request; undefined if its connection closes before its turn.
   */
  addRequest(connection: C): ConnectionRequest<C> | undefined {
    if (this.#closing.has(connection)) return undefined;
    const request = { connection };
    this.#newest.set(connection, request);
    return request;
  }

  /** Whether an answer may announce the close; if so, no later request is added. */
  mayAnnounce(request: ConnectionRequest<C>): boolean {
    const { connection } = request;
    if (this.#newest.get(connection) !== request) return false;
    this.#closing.add(connection);
    return true;
  }
}
