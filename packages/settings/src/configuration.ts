/**
 * Parsing, composing and resolving the configuration.
 *
 * @module
 */
import type {
  CustomerId,
  CustomerSpec,
  EndpointRole,
  PipelineId,
  PipelineSpec,
  ServiceId,
  SiteId,
  ZoneId,
} from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Configuration,
  CONFIGURATION_SCHEMA,
  type SiteOverlay,
} from "./configuration_schema.ts";
import { checkReferences } from "./cross_checks.ts";
import { buildFaults, type Fault } from "./fault.ts";

/** A customer with the hash of its credential. */
export interface SiteCustomer extends CustomerSpec {
  /** SHA-256 of the credential in hexadecimal. */
  readonly credentialSha256: string;
}

/** A service that stages are sent to. */
export interface SiteService {
  readonly service: ServiceId;
  readonly role: EndpointRole;
  /** Whether its workers refuse an order with an old fencing number. */
  readonly checksFencing: boolean;
}

/**
 * What is in force at one site: the base with the site's overlay applied.
 *
 * Maps, since callers choose the names that are looked up: a plain object
 * would find its own `constructor` as a pipeline.
 */
export interface SiteConfiguration {
  readonly site: SiteId;
  /** Failure domains of the site. */
  readonly zones: readonly ZoneId[];
  /** Failure domains that operators have taken out, of any site. */
  readonly zonesOut: readonly ZoneId[];
  /** Pipelines that the site offers. */
  readonly pipelines: ReadonlyMap<PipelineId, PipelineSpec>;
  readonly customers: ReadonlyMap<CustomerId, SiteCustomer>;
  readonly services: ReadonlyMap<ServiceId, SiteService>;
}

/**
 * Parses a whole configuration and checks what its parts say of each other.
 *
 * @param value Plain data as read from JSON.
 * @returns The configuration with its defaults, or every fault at once.
 * @example
 * ```ts
 * const parsed = parseConfiguration(JSON.parse(text));
 * if (parsed.isErr()) console.error(parsed.error.map(formatFault).join("\n"));
 * ```
 */
export function parseConfiguration(
  value: unknown,
): Result<Configuration, readonly Fault[]> {
  const parsed = CONFIGURATION_SCHEMA.safeParse(value);
  const schemaFaults = parsed.success ? [] : buildFaults(parsed.error, value);
  const faults = [...schemaFaults, ...checkReferences(value)];
  if (!parsed.success || faults.length > 0) return Err(faults);
  return Ok(parsed.data);
}

/**
 * Composes a whole configuration from a base and overlays, unchecked.
 *
 * It says nothing of zones that are out: those belong to the configuration in
 * force, and no file may bring a zone back in unasked.
 *
 * @param base What every site shares.
 * @param overlays What each site changes, by the site's name.
 * @returns The value to hand to {@link parseConfiguration}.
 * @example
 * ```ts
 * composeConfiguration(base, { "yard-east": overlay });
 * ```
 */
export function composeConfiguration(
  base: unknown,
  overlays: Readonly<Record<SiteId, unknown>>,
): { readonly base: unknown; readonly sites: Record<SiteId, unknown> } {
  return { base, sites: { ...overlays } };
}

/**
 * Applies a site's overlay to the base.
 *
 * @param configuration A checked configuration.
 * @param siteId The site to resolve.
 * @returns What is in force there, or why there is no such site.
 * @example
 * ```ts
 * resolveSite(configuration, "yard-east").map((site) => site.pipelines.size);
 * ```
 */
export function resolveSite(
  configuration: Configuration,
  siteId: SiteId,
): Result<SiteConfiguration, string> {
  if (!Object.hasOwn(configuration.sites, siteId)) {
    const known = Object.keys(configuration.sites).join(", ");
    return Err(`Cannot find site "${siteId}": the sites are ${known}`);
  }
  const overlay = configuration.sites[siteId];
  return Ok({
    site: siteId,
    zones: overlay.zones,
    zonesOut: configuration.zonesOut,
    pipelines: buildPipelines(configuration, overlay),
    customers: buildCustomers(configuration, overlay),
    services: buildServices(configuration),
  });
}

function buildPipelines(
  configuration: Configuration,
  overlay: SiteOverlay,
): Map<PipelineId, PipelineSpec> {
  const offered = overlay.offers.map((pipelineId) => {
    const pipeline = configuration.base.pipelines[pipelineId];
    return [pipelineId, { pipelineId, ...pipeline }] as const;
  });
  return new Map(offered);
}

function buildCustomers(
  configuration: Configuration,
  overlay: SiteOverlay,
): Map<CustomerId, SiteCustomer> {
  const entries = Object.entries(configuration.base.customers);
  return new Map(entries.map(([customerId, customer]) => {
    const changed = Object.hasOwn(overlay.customers, customerId)
      ? overlay.customers[customerId]
      : {};
    const spec: SiteCustomer = {
      customerId,
      weight: changed.weight ?? customer.weight,
      maxConcurrency: changed.maxConcurrency ?? customer.maxConcurrency,
      credentialSha256: customer.credentialSha256,
    };
    return [customerId, spec];
  }));
}

function buildServices(
  configuration: Configuration,
): Map<ServiceId, SiteService> {
  const entries = Object.entries(configuration.base.services);
  return new Map(
    entries.map(([service, spec]) => [service, { service, ...spec }]),
  );
}
