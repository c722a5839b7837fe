/**
 * Lookup of the route, service and customer of a request.
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

/** Result of a customer lookup. */
export type CustomerMatch =
  | { readonly kind: "known"; readonly customer: CustomerKeys }
  | { readonly kind: "keyNotRequired" }
  | { readonly kind: "unknownKey" };

/**
 * Lookups in one configuration.
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

  /** @param configuration The active configuration. */
  constructor(configuration: ServingConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    for (const route of configuration.routes) this.#addRoute(route);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#customersByKey = buildKeyIndex(configuration.customers);
  }

  /** All services by name. */
  get services(): ReadonlyMap<ServiceId, ServiceSpec> {
    return this.#services;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host The `Host` of the request; its port and letter case are ignored.
   * @param path The path with or without a query.
   */
  findRoute(host: string, path: string): Route | undefined {
    const bare = path.split("?", 1)[0] ?? "";
    const routes = this.#routesByHost.get(normalizeHost(host)) ?? [];
    return routes.find((route) => bare.startsWith(route.pathPrefix));
  }

  /** Finds the customer of an API key; public routes require none. */
  findCustomer(route: Route, apiKey: string | undefined): CustomerMatch {
    if (this.#customersByKey === undefined) return { kind: "keyNotRequired" };
    const customer = apiKey === undefined
      ? undefined
      : this.#customersByKey.get(apiKey);
    if (customer !== undefined) return { kind: "known", customer };
    return route.isPublic ? { kind: "keyNotRequired" } : { kind: "unknownKey" };
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
 * Picks the service of a request by the weights of the route's targets.
 *
 * The subject is hashed so that all requests of a session use one service: another
 * service would have to process the session's prompt from the start.
 *
 * @param route The request's route.
 * @param subject The session, or the request's id if there is none.
 * @returns The service's name; undefined if no target has a weight.
 */
export function pickService(
  route: Route,
  subject: string,
): ServiceId | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  if (total <= 0) return undefined;
  let point = (murmurhash.v3(`split\0${subject}`) / 2 ** 32) * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

/** Number of route ranks that are distinguished within a customer priority. */
const ROUTE_RANKS = 4;

/**
 * Returns the rank of a request, 0 being the most urgent: by the customer's
 * priority, then by the route's.
 *
 * Prevents less urgent requests from filling the pools in a busy hour: when all
 * customers had one priority, a third of the most urgent requests were rejected
 * while more of the least urgent were served, each at the same cost.
 */
export function getRequestRank(route: Route, match: CustomerMatch): number {
  const own = match.kind === "known" ? match.customer.priority : undefined;
  const routeRank = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority));
  return Math.max(0, own ?? route.priority) * ROUTE_RANKS + routeRank;
}

/** Returns the customer's name, if there is one. */
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
    customers.flatMap((customer) =>
      customer.apiKeys.map((key) => [key, customer] as const)
    ),
  );
}
