/**
 * What a connection of a caller is used for, and what follows from it.
 *
 * @module
 */

/** What a connection does. */
export type ConnectionUse =
  /** No request has arrived on it. */
  | { readonly kind: "unused"; readonly since: number }
  /** The body of its newest request is incomplete. */
  | { readonly kind: "reading"; readonly stalledMs: number }
  /** All requests on it are read, and one has no complete answer yet. */
  | { readonly kind: "running" }
  /** All requests on it are answered. */
  | { readonly kind: "idle"; readonly since: number };

/** A connection with its use. */
export interface UsedConnection<C> {
  readonly connection: C;
  readonly use: ConnectionUse;
}

/**
 * Picks the connection that closes when there are too many.
 *
 * Load: callers open connections and send nothing, or bodies that they don't end, and
 * take the descriptors of all others. A request that runs keeps its connection, and so
 * does a caller between two requests.
 *
 * @param connections All connections.
 * @param now Monotonic time, in milliseconds.
 * @returns The connection unused for longest, otherwise the one whose body stalls for
 * longest; undefined if there is none of these.
 *
 * @example
 * ```ts
 * const use = { kind: "unused", since: 40 } as const;
 * pickExcess([{ connection: "c1", use }], 90); // "c1"
 * ```
 */
export function pickExcess<C>(
  connections: Iterable<UsedConnection<C>>,
  now: number,
): C | undefined {
  let picked:
    | { connection: C; isUnused: boolean; waitedMs: number }
    | undefined;
  for (const { connection, use } of connections) {
    const isUnused = use.kind === "unused";
    if (!isUnused && use.kind !== "reading") continue;
    const waitedMs = isUnused ? now - use.since : use.stalledMs;
    const isFirst = picked === undefined ||
      (isUnused === picked.isUnused ? waitedMs > picked.waitedMs : isUnused);
    if (isFirst) picked = { connection, isUnused, waitedMs };
  }
  return picked?.connection;
}

/** Limits of bytes that are no request. */
export interface StrayLimits {
  /** Longest head, in bytes. */
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** What has arrived on a connection. */
export interface ConnectionArrivals {
  readonly use: ConnectionUse;
  /** Bytes behind the last request that was read. */
  readonly strayBytes: number;
}

/** What becomes of a connection. */
export type ConnectionFate =
  | { readonly kind: "open" }
  /** It sends no request, and closes at once. */
  | { readonly kind: "refuse" }
  /** Its request takes too long, and it closes at once. */
  | { readonly kind: "timeOut" }
  /** It is read no more, and closes after the answers that are due. */
  | { readonly kind: "closeAfterAnswers" };

/**
 * Decides what becomes of a connection that may send bytes without a request, such as
 * empty lines. The timeouts of the HTTP server don't see these: they begin with a
 * head, or end with any byte.
 *
 * @param arrivals Use of the connection, and bytes behind its last request.
 * @param options Limits of the configuration, and the monotonic time in milliseconds.
 *
 * @example
 * ```ts
 * const use = { kind: "running" } as const;
 * decideFate({ use, strayBytes: 1_000_000 }, { limits, now }); // closeAfterAnswers
 * ```
 */
export function decideFate(
  { use, strayBytes }: ConnectionArrivals,
  { limits, now }: { readonly limits: StrayLimits; readonly now: number },
): ConnectionFate {
  const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  const isFlooded = strayBytes > maxHeaderBytes;
  switch (use.kind) {
    case "unused":
      return { kind: isFlooded ? "refuse" : "open" };
    case "reading":
      return { kind: "open" };
    case "running":
      return { kind: isFlooded ? "closeAfterAnswers" : "open" };
    case "idle": {
      const isOverdue = strayBytes > 0 &&
        now - use.since > idleTimeoutMs + headerTimeoutMs;
      if (isFlooded) return { kind: "refuse" };
      return { kind: isOverdue ? "timeOut" : "open" };
    }
  }
}
