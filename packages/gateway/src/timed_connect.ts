/**
 * Connecting to an endpoint within a bound of its own.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/**
 * Bounds a connector of the HTTP library.
 *
 * Guards against endpoints that have gone dark: the library looks at its own bound
 * twice a second only, so a short one ends late. It shows as requests that go on to
 * another endpoint after half of their objective.
 *
 * @param connect The library's connector, without a bound.
 * @param timeoutMs Longest handshake, in milliseconds.
 */
export function buildTimedConnect(
  connect: buildConnector.connector,
  timeoutMs: number,
): buildConnector.connector {
  return (options, callback) => {
    let isOver = false;
    const finish = (...result: Parameters<buildConnector.Callback>) => {
      if (isOver) return void result[1]?.destroy();
      isOver = true;
      clearTimeout(timer);
      // A connection that failed has no socket; the types say null only.
      if (result[1]) result[1].setNoDelay(true);
      callback(...result);
    };
    const timer = setTimeout(() => {
      finish(new Error(`No connection within ${timeoutMs} ms`), null);
      socket.destroy();
    }, timeoutMs);
    // The connector gives its socket, which its type does not say.
    const socket = connect(options, finish) as unknown as Socket;
    return socket;
  };
}
