/**
 * How this VM reaches endpoints, and what it relays for other VMs.
 *
 * @module
 */
import * as endpointPaths from "@sardinestep/endpoint_paths";
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import type { Address } from "@sardinestep/types";
import type { Socket } from "node:net";
import { EVENT } from "./events.ts";
import { CONNECT_TIMEOUT_MS, connectOverTcp } from "./http_pool.ts";
import type { SiteState } from "./site_state.ts";

/** Options of {@link EndpointReach}. */
export interface EndpointReachOptions {
  /** Opens connections without a timeout; over TCP by default. */
  readonly connect?: endpointPaths.Connector;
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  /** RPC address of this VM, at which relays announce their stop. */
  readonly callerRpc?: Address;
  /** Whether a VM has announced its stop. */
  readonly isLeaving: (vmId: string) => boolean;
  /** Gives the other VMs that accept work. */
  readonly getPeers: () => readonly RelayPeer[];
  /** Whether this VM accepts no new work. */
  readonly isStopping: () => boolean;
  /** Called when the direct path to an endpoint is lost. */
  readonly handleLost: (endpoint: serving.ServingEndpoint) => void;
  /** Called when it is back. */
  readonly handleFound: (endpoint: serving.ServingEndpoint) => void;
}

/** Another VM, and whether its own links to endpoints are lost. */
export interface RelayPeer {
  readonly member: serving.ServingMember;
  readonly isCutOff: boolean;
}

/**
 * Timeout of a handshake for another VM, in milliseconds: that VM also waits for
 * this one.
 */
const RELAYED_CONNECT_TIMEOUT_MS = 90;

/** Interval of checks of the path to one endpoint, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Connects to endpoints, through other VMs where the direct path is lost. */
export class EndpointReach {
  readonly #options: EndpointReachOptions;
  readonly #connector: endpointPaths.PathConnector;
  readonly #connectForPeers: endpointPaths.Connector;
  readonly #paths = new endpointPaths.PathTable();
  readonly #relays = new endpointPaths.RelayTable();
  /** Monotonic times of the last checks. */
  readonly #checkedAt = new Map<Address, number>();
  #tunnels: endpointPaths.TunnelServer | undefined;

  /** @param options Endpoints, other VMs and the log. */
  constructor(options: EndpointReachOptions) {
    this.#options = options;
    const connect = options.connect ?? connectOverTcp;
    this.#connectForPeers = endpointPaths.buildConnectorWithTimeout(
      connect,
      RELAYED_CONNECT_TIMEOUT_MS,
    );
    this.#connector = new endpointPaths.PathConnector({
      connect: endpointPaths.buildConnectorWithTimeout(
        connect,
        CONNECT_TIMEOUT_MS,
      ),
      paths: this.#paths,
      relays: this.#relays,
      isRelayable: (address) => this.#findEndpoint(address) !== undefined,
      getRelays: () => this.#getRelays(),
      callerRpc: options.callerRpc,
      timeoutMs: CONNECT_TIMEOUT_MS,
      handleChange: (address, change) => this.#handleChange(address, change),
    });
  }

  /** Opens connections for the pool. */
  get connect(): endpointPaths.Connector {
    return this.#connector.connect;
  }

  /** Finds the VM that relays a connection; undefined if it is direct. */
  findRelay(socket: Socket): string | undefined {
    return this.#connector.findRelay(socket);
  }

  /**
   * Whether a connection may carry another request. A relay that stops waits until its
   * tunnels are closed, so those without a request are closed at once.
   */
  mayReuse(socket: Socket): boolean {
    const relay = this.findRelay(socket);
    return relay === undefined || !this.#options.isLeaving(relay);
  }

  /** RPC addresses of the VMs that this one relays for. */
  get tunnelCallers(): ReadonlySet<Address> {
    return this.#tunnels?.getCallers() ?? new Set();
  }

  /** Whether this VM lost its direct paths to several endpoints. */
  get isCutOff(): boolean {
    return this.#paths.isSuspected;
  }

  /** Number of endpoints that this VM reaches only through others. */
  get lostCount(): number {
    return this.#paths.lostCount;
  }

  /** Open tunnels of other VMs. */
  get tunnelCount(): number {
    return this.#tunnels?.size ?? 0;
  }

  /** Tunnels of other VMs opened so far. */
  get tunnelTotal(): number {
    return this.#tunnels?.openedTotal ?? 0;
  }

  /** Whether other VMs reach an endpoint that this VM does not reach. */
  isRelayed(endpoint: serving.ServingEndpoint): boolean {
    return this.#paths.isRelayed(endpoint.address);
  }

  /**
   * Checks the path to an endpoint after a request to it broke. Kept connections may
   * have gone silent with the path, and a VM that uses no others learns nothing of it.
   */
  checkPath({ address }: serving.ServingEndpoint): void {
    const now = performance.now();
    const checkedAt = this.#checkedAt.get(address) ?? -Infinity;
    if (now - checkedAt < CHECK_INTERVAL_MS) return;
    this.#checkedAt.set(address, now);
    void this.#connector.checkPath(address);
  }

  /** Accepts tunnels of other VMs. */
  async start(address: Address): Promise<void> {
    this.#tunnels = await endpointPaths.openTunnelServer(address, {
      connect: this.#connectForPeers,
      mayOpen: (target) =>
        !this.#options.isStopping() &&
        this.#findEndpoint(target) !== undefined &&
        !this.#paths.isRelayed(target),
    });
  }

  /**
   * Probes lost paths: kept connections through relays need no new ones that would show
   * that a path is back. Forgets endpoints and VMs that are gone.
   */
  update(): void {
    const { site } = this.#options;
    const addresses = new Set(
      site.getEndpoints().map(({ endpoint }) => endpoint.address),
    );
    this.#paths.keep(addresses);
    for (const address of this.#checkedAt.keys()) {
      if (!addresses.has(address)) this.#checkedAt.delete(address);
    }
    this.#relays.keep(site.members);
    for (const address of this.#paths.getDueProbes(performance.now())) {
      void this.#connector.probePath(address);
    }
  }

  /** Closes all tunnels. */
  close(): void {
    this.#tunnels?.close();
  }

  #findEndpoint(address: Address): serving.ServingEndpoint | undefined {
    return this.#options.site.findEndpointByAddress(address);
  }

  #getRelays(): endpointPaths.Relay[] {
    return this.#options.getPeers().flatMap(({ member, isCutOff }) =>
      member.relay === undefined
        ? []
        : [{ vmId: member.vmId, address: member.relay, isCutOff }]
    );
  }

  #handleChange(address: Address, change: endpointPaths.PathChange): void {
    if (change === "none") return;
    const endpoint = this.#findEndpoint(address);
    const { events, handleLost, handleFound } = this.#options;
    const isLost = change === "lost";
    this.#options.metrics.count("endpoint_path_changes_total", { change });
    events.write(isLost ? EVENT.pathLost : EVENT.pathFound, {
      endpointId: endpoint?.id,
      service: endpoint?.service,
      address,
      lost: this.#paths.lostCount,
    });
    if (endpoint === undefined) return;
    if (isLost) handleLost(endpoint);
    else handleFound(endpoint);
  }
}
