/**
 * Which route, service and customer a request belongs to.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "@sardinestep/types";
import murmurhash from "murmurhash";
import type {
  CallerLimits,
  CustomerKeys,
  Route,
  ServiceSpec,
  ServingConfiguration,
} from "./model.ts";

/** Who a request is from. */
export type CustomerMatch =
  | { readonly kind: "known"; readonly customer: CustomerKeys }
  | { readonly kind: "notAsked" }
  | { readonly kind: "unknownKey" };

/**
 * Look-ups over one configuration.
 *
 * @example
 * ```ts
 * const route = new RouteTable(configuration).findRoute("a.example", "/x/1");
 * ```
 */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly #customersByKey: ReadonlyMap<string, CustomerKeys> | undefined;

  /** @param configuration The configuration in force. */
  constructor(configuration: ServingConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    for (const route of configuration.routes) this.#addRoute(route);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#customersByKey = buildKeyIndex(configuration.customers);
  }

  /** Every service, by name. */
  get services(): ReadonlyMap<ServiceId, ServiceSpec> {
    return this.#services;
  }

  /**
   * Finds the route with the longest prefix that begins the path.
   *
   * @param host The `Host` of the request; a port and letter case don't count.
   * @param path The path with or without a query.
   */
  findRoute(host: string, path: string): Route | undefined {
    const bare = path.split("?", 1)[0] ?? "";
    const routes = this.#routesByHost.get(normalizeHost(host)) ?? [];
    return routes.find((route) => bare.startsWith(route.pathPrefix));
  }

  /** Finds who holds a key; routes that are public ask for none. */
  findCustomer(route: Route, apiKey: string | undefined): CustomerMatch {
    if (this.#customersByKey === undefined) return { kind: "notAsked" };
    const customer = apiKey === undefined
      ? undefined
      : this.#customersByKey.get(apiKey);
    if (customer !== undefined) return { kind: "known", customer };
    return route.isPublic ? { kind: "notAsked" } : { kind: "unknownKey" };
  }

  #addRoute(route: Route): void {
    const host = normalizeHost(route.host);
    const routes = this.#routesByHost.get(host) ?? [];
    routes.push(route);
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.#routesByHost.set(host, routes);
  }
}

/**
 * Picks the service of a request on a route that may be split.
 *
 * The subject is hashed so that requests of one session stay with one service:
 * a session that changes services is read from the start there.
 *
 * @param route The request's route.
 * @param subject The session, or the request's id where there is none.
 * @returns The service's name; undefined when no target has a weight.
 */
export function pickService(
  route: Route,
  subject: string,
): ServiceId | undefined {
  const total = route.targets.reduce((sum, one) => sum + one.weight, 0);
  if (total <= 0) return undefined;
  let point = (murmurhash.v3(`split\0${subject}`) / 2 ** 32) * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

/** Ranks of routes that are told apart among customers of one priority. */
const ROUTE_RANKS = 4;

/**
 * Gives the rank of a request, 0 the most urgent: by the customer's priority, and
 * by the route's among customers of the same.
 *
 * Guards against a busy hour in which what is less urgent fills the pools: where
 * all customers had one priority, a third of the most urgent requests were refused
 * while more of the least urgent were served than of them, each at the same cost.
 */
export function getRank(route: Route, match: CustomerMatch): number {
  const own = match.kind === "known" ? match.customer.priority : undefined;
  const routeRank = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority));
  return Math.max(0, own ?? route.priority) * ROUTE_RANKS + routeRank;
}

/** Gives the customer's name, if there is one. */
export function getCustomerId(match: CustomerMatch): CustomerId | undefined {
  return match.kind === "known" ? match.customer.name : undefined;
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, "");
}

function buildKeyIndex(
  customers: readonly CustomerKeys[] | undefined,
): ReadonlyMap<string, CustomerKeys> | undefined {
  if (customers === undefined) return undefined;
  return new Map(
    customers.flatMap((one) => one.apiKeys.map((key) => [key, one] as const)),
  );
}
