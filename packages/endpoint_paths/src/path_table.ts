/**
 * Which endpoints a VM reaches directly.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";

/** How the next connection to an endpoint is opened. */
export type PathPlan =
  /** Directly; no other VM is asked. */
  | { readonly kind: "direct" }
  /** Directly, and after a delay through a relay; the first one counts. */
  | { readonly kind: "race"; readonly relayDelayMs: number }
  /** Through a relay. */
  | { readonly kind: "relayed" }
  /** Not at all: neither this VM nor a relay reached it a moment ago. */
  | { readonly kind: "none" };

/** How asking relays for a path ended. */
export const RELAY_RESULT = {
  established: "established",
  /** A relay with links of its own did not reach the endpoint either. */
  unreachable: "unreachable",
  /** No relay could be asked, or none answered. */
  noRelay: "noRelay",
} as const;
/** A value of {@link RELAY_RESULT}. */
export type RelayResult = typeof RELAY_RESULT[keyof typeof RELAY_RESULT];

/** Effect of a result on the direct path to an endpoint. */
export type PathChange = "lost" | "found" | "none";

/**
 * Delay after which a handshake that is still open is also tried through a relay, in
 * milliseconds. Zones are less than 3 ms apart.
 */
const RELAY_DELAY_MS = 50;
/** Failed handshakes in a row; a single one may be a lost packet. */
export const LOST_AFTER_FAILURES = 2;
/** Handshakes in a row that show that a lost path is back. */
const FOUND_AFTER_SUCCESSES = 2;
/** The same for a path that was lost again and again. */
const MAX_FOUND_AFTER_SUCCESSES = 16;
/** Time after its return in which another loss shows that a path flaps, in ms. */
const FLAP_WINDOW_MS = 10_000;
/** Interval of direct handshakes while the path is lost, in milliseconds. */
const PROBE_INTERVAL_MS = 500;
/** Lost paths from which this VM's other paths are suspected. */
const SUSPECT_LOST_PATHS = 2;
/** Time for which no relay is asked again for an endpoint that none reached, in ms. */
const UNREACHABLE_MS = 500;
/** Time for which no connection is tried when no path was found, in milliseconds. */
const NO_PATH_MS = 250;

interface Path {
  failures: number;
  successes: number;
  isLost: boolean;
  /** A relay has reached the endpoint since the last direct handshake. */
  isRelayed: boolean;
  directAt: number;
  establishedAt: number;
  unreachableAt: number;
  foundAt: number;
  /** Handshakes in a row after which it is found. */
  neededSuccesses: number;
}

/**
 * Tracks the direct paths of this VM to endpoints.
 *
 * A path counts as lost only if a relay reaches the endpoint: a handshake alone
 * doesn't distinguish a partitioned VM from an endpoint that is down.
 */
export class PathTable {
  readonly #paths = new Map<Address, Path>();
  #suspectedAt = Infinity;

  /** Number of endpoints that only relays reach. */
  get lostCount(): number {
    return [...this.#paths.values()].filter((path) => path.isLost).length;
  }

  /** Whether this VM lost its paths to several endpoints. */
  get isSuspected(): boolean {
    return this.#suspectedAt !== Infinity;
  }

  /** Whether relays reach an endpoint that this VM does not reach. */
  isRelayed(address: Address): boolean {
    const path = this.#paths.get(address);
    return path !== undefined && path.isLost && path.isRelayed;
  }

  /** Plans the next connection to an endpoint. */
  plan(address: Address, now: number): PathPlan {
    const path = this.#getPath(address);
    const isUnreachable = now - path.unreachableAt < UNREACHABLE_MS;
    const isDown = isUnreachable && path.failures >= LOST_AFTER_FAILURES;
    if (isDown && now - path.unreachableAt < NO_PATH_MS) {
      return { kind: "none" };
    }
    if (isUnreachable && !path.isLost) return { kind: "direct" };
    if (path.isLost && !isProbeDue(path, now)) return { kind: "relayed" };
    const isDoubted = path.failures > 0 ||
      path.establishedAt < this.#suspectedAt && this.isSuspected;
    const relayDelayMs = isDoubted ? 0 : RELAY_DELAY_MS;
    return { kind: "race", relayDelayMs };
  }

  /** Gives the lost paths that are due for a direct handshake. */
  getDueProbes(now: number): Address[] {
    return [...this.#paths]
      .filter(([, path]) => path.isLost && isProbeDue(path, now))
      .map(([address]) => address);
  }

  /** Records the start of a direct handshake. */
  recordDirectStart(address: Address, now: number): void {
    this.#getPath(address).directAt = now;
  }

  /** Records the end of a direct handshake. */
  recordDirect(
    address: Address,
    isEstablished: boolean,
    now: number,
  ): PathChange {
    const path = this.#getPath(address);
    if (!isEstablished) {
      path.failures += 1;
      path.successes = 0;
      return this.#updateLost(path, now);
    }
    path.failures = 0;
    path.successes += 1;
    path.establishedAt = now;
    path.unreachableAt = -Infinity;
    if (!path.isLost) {
      path.isRelayed = false;
      return "none";
    }
    if (path.successes < path.neededSuccesses) return "none";
    path.isLost = false;
    path.foundAt = now;
    path.isRelayed = false;
    if (this.lostCount < SUSPECT_LOST_PATHS) this.#suspectedAt = Infinity;
    return "found";
  }

  /** Records whether relays reached an endpoint. */
  recordRelayed(
    address: Address,
    result: RelayResult,
    now: number,
  ): PathChange {
    const path = this.#getPath(address);
    path.isRelayed = result === RELAY_RESULT.established;
    path.unreachableAt = result === RELAY_RESULT.unreachable ? now : -Infinity;
    return this.#updateLost(path, now);
  }

  /** Forgets endpoints that are no longer registered. */
  keep(addresses: ReadonlySet<Address>): void {
    for (const address of this.#paths.keys()) {
      if (!addresses.has(address)) this.#paths.delete(address);
    }
    if (this.lostCount < SUSPECT_LOST_PATHS) this.#suspectedAt = Infinity;
  }

  #updateLost(path: Path, now: number): PathChange {
    const isLost = path.failures >= LOST_AFTER_FAILURES && path.isRelayed;
    if (path.isLost || !isLost) return "none";
    path.isLost = true;
    path.successes = 0;
    // Each return of a path that flaps breaks the requests of its next loss.
    path.neededSuccesses = now - path.foundAt < FLAP_WINDOW_MS
      ? Math.min(MAX_FOUND_AFTER_SUCCESSES, 2 * path.neededSuccesses)
      : FOUND_AFTER_SUCCESSES;
    const isSuspected = this.lostCount >= SUSPECT_LOST_PATHS;
    if (isSuspected && !this.isSuspected) this.#suspectedAt = now;
    return "lost";
  }

  #getPath(address: Address): Path {
    const known = this.#paths.get(address);
    if (known !== undefined) return known;
    const path: Path = {
      failures: 0,
      successes: 0,
      isLost: false,
      isRelayed: false,
      directAt: -Infinity,
      establishedAt: -Infinity,
      unreachableAt: -Infinity,
      foundAt: -Infinity,
      neededSuccesses: FOUND_AFTER_SUCCESSES,
    };
    this.#paths.set(address, path);
    return path;
  }
}

function isProbeDue({ directAt }: Path, now: number): boolean {
  return now - directAt >= PROBE_INTERVAL_MS;
}
