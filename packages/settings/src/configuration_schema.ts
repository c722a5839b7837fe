/**
 * Schema of the configuration: a base for all sites and an overlay for each.
 *
 * @module
 */
import { ENDPOINT_ROLE, REQUEST_CLASS } from "@sardinestep/types";
import * as z from "zod";

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lowercase letters, digits and dashes, at most 63 characters",
);
const POSITIVE = z.number().positive();
const COUNT = z.int().min(1);

/** One stage of a pipeline. */
export const STAGE_SCHEMA = z.strictObject({
  name: NAME,
  service: NAME,
  billable: z.boolean(),
  repeatable: z.boolean(),
  operation: z.string().default(""),
  expectedMs: POSITIVE,
});

/** A pipeline; a plain service is offered as a pipeline of one stage. */
export const PIPELINE_SCHEMA = z.strictObject({
  requestClass: z.enum(REQUEST_CLASS),
  defaultDeadlineMs: z.int().min(1).max(600_000),
  stages: z.array(STAGE_SCHEMA).min(1).max(6),
});

/** A pool of endpoints; the VM list determines which workers belong to it. */
export const SERVICE_SCHEMA = z.strictObject({
  role: z.enum(ENDPOINT_ROLE),
  /** Whether the workers reject calls with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
});

/** A customer: its scheduling weight, limits and credential. */
export const CUSTOMER_SCHEMA = z.strictObject({
  weight: POSITIVE,
  maxConcurrency: COUNT,
  /** SHA-256 of the credential in hexadecimal, so that none is published. */
  credentialSha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "expected 64 hexadecimal digits",
  ),
});

/** Part of the configuration that all sites share. */
export const BASE_CONFIGURATION_SCHEMA = z.strictObject({
  pipelines: z.record(NAME, PIPELINE_SCHEMA),
  services: z.record(NAME, SERVICE_SCHEMA),
  customers: z.record(NAME, CUSTOMER_SCHEMA),
});

/** Part of the configuration that belongs to one site. */
export const SITE_OVERLAY_SCHEMA = z.strictObject({
  /** Failure domains of the site. */
  zones: z.array(NAME).min(1),
  /** Pipelines that the site offers. */
  offers: z.array(NAME),
  /** Overrides of customers' limits at this site. */
  customers: z.record(
    NAME,
    z.strictObject({
      weight: POSITIVE.optional(),
      maxConcurrency: COUNT.optional(),
    }),
  ).default({}),
});

/** The whole configuration, as published. */
export const CONFIGURATION_SCHEMA = z.strictObject({
  base: BASE_CONFIGURATION_SCHEMA,
  sites: z.record(NAME, SITE_OVERLAY_SCHEMA),
  /** Failure domains taken out of service by operators, at any site. */
  zonesOut: z.array(NAME).default([]),
});

/** The whole configuration with defaults filled in. */
export type Configuration = z.output<typeof CONFIGURATION_SCHEMA>;
/** The base part of {@link Configuration}. */
export type BaseConfiguration = z.output<typeof BASE_CONFIGURATION_SCHEMA>;
/** One site's part of {@link Configuration}. */
export type SiteOverlay = z.output<typeof SITE_OVERLAY_SCHEMA>;
