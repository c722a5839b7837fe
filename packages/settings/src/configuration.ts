/**
 * Parses and composes the configuration, and resolves it for one site.
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
import { buildFaults, type ValidationFault } from "./fault.ts";

/** A customer's limits at one site, with the hash of its credential. */
export interface SiteCustomer extends CustomerSpec {
  /** SHA-256 of the credential in hexadecimal. */
  readonly credentialSha256: string;
}

/** A service whose workers run stages. */
export interface SiteService {
  readonly service: ServiceId;
  readonly role: EndpointRole;
  /** Whether its workers reject calls with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/**
 * The effective configuration of one site: the base with the site's overlay.
 *
 * Uses maps because callers choose the names to look up: a plain object would
 * return its inherited `constructor` as a pipeline.
 */
export interface SiteConfiguration {
  readonly site: SiteId;
  /** Failure domains of the site. */
  readonly zones: readonly ZoneId[];
  /** Failure domains of any site that operators have taken out of service. */
  readonly zonesOut: readonly ZoneId[];
  /** Pipelines that the site offers. */
  readonly pipelines: ReadonlyMap<PipelineId, PipelineSpec>;
  readonly customers: ReadonlyMap<CustomerId, SiteCustomer>;
  readonly services: ReadonlyMap<ServiceId, SiteService>;
}

/**
 * Parses a whole configuration and checks the references between its parts.
 *
 * @param value Plain data as read from JSON.
 * @returns The configuration with its defaults, or all faults.
 * @example
 * ```ts
 * const parsed = parseConfiguration(JSON.parse(text));
 * if (parsed.isErr()) console.error(parsed.error.map(formatFault).join("\n"));
 * ```
 */
export function parseConfiguration(
  value: unknown,
): Result<Configuration, readonly ValidationFault[]> {
  const parsed = CONFIGURATION_SCHEMA.safeParse(value);
  const schemaFaults = parsed.success ? [] : buildFaults(parsed.error, value);
  const faults = [...schemaFaults, ...checkReferences(value)];
  if (!parsed.success || faults.length > 0) return Err(faults);
  return Ok(parsed.data);
}

/**
 * Composes a whole configuration from a base and overlays, without checks.
 *
 * Leaves `zonesOut` unset: it belongs to the configuration in force, and
 * publishing a file must not return a zone to service by accident.
 *
 * @param base Part that all sites share.
 * @param overlays Overlay of each site, by site name.
 * @returns The value to hand to {@link parseConfiguration}.
 * @example
 * ```ts
 * buildRawConfiguration(base, { "yard-east": overlay });
 * ```
 */
export function buildRawConfiguration(
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
 * @returns The effective configuration, or a message if the site is unknown.
 * @example
 * ```ts
 * const site = buildSiteConfiguration(configuration, "yard-east");
 * site.map(({ pipelines }) => pipelines.size);
 * ```
 */
export function buildSiteConfiguration(
  configuration: Configuration,
  siteId: SiteId,
): Result<SiteConfiguration, string> {
  if (!Object.hasOwn(configuration.sites, siteId)) {
    const knownSites = Object.keys(configuration.sites).join(", ");
    return Err(`Cannot find site "${siteId}": known sites are ${knownSites}`);
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
  const pipelineEntries = overlay.offers.map((pipelineId) => {
    const pipeline = configuration.base.pipelines[pipelineId];
    return [pipelineId, { pipelineId, ...pipeline }] as const;
  });
  return new Map(pipelineEntries);
}

function buildCustomers(
  configuration: Configuration,
  overlay: SiteOverlay,
): Map<CustomerId, SiteCustomer> {
  const entries = Object.entries(configuration.base.customers);
  return new Map(entries.map(([customerId, customer]) => {
    const override = Object.hasOwn(overlay.customers, customerId)
      ? overlay.customers[customerId]
      : {};
    const spec: SiteCustomer = {
      customerId,
      weight: override.weight ?? customer.weight,
      maxConcurrency: override.maxConcurrency ?? customer.maxConcurrency,
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
