/**
 * Schema of the configuration: one base for all sites with an overlay for each.
 *
 * @module
 */
import { ENDPOINT_ROLE, REQUEST_CLASS } from "@sardinestep/types";
import * as z from "zod";

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lower case letters, digits and dashes, 63 at most",
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

/** A pipeline; plain services are pipelines of one stage. */
export const PIPELINE_SCHEMA = z.strictObject({
  requestClass: z.enum(REQUEST_CLASS),
  defaultDeadlineMs: z.int().min(1).max(600_000),
  stages: z.array(STAGE_SCHEMA).min(1).max(6),
});

/** A pool of endpoints; which workers are in it, the VM list says. */
export const SERVICE_SCHEMA = z.strictObject({
  role: z.enum(ENDPOINT_ROLE),
  /** Whether the workers refuse an order with an old fencing number. */
  checksFencing: z.boolean().default(false),
});

/** A customer, its share and its credential. */
export const CUSTOMER_SCHEMA = z.strictObject({
  weight: POSITIVE,
  maxConcurrency: COUNT,
  /** SHA-256 of the credential in hexadecimal, so that none is published. */
  credentialSha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "expected 64 hexadecimal digits",
  ),
});

/** What every site shares. */
export const BASE_SCHEMA = z.strictObject({
  pipelines: z.record(NAME, PIPELINE_SCHEMA),
  services: z.record(NAME, SERVICE_SCHEMA),
  customers: z.record(NAME, CUSTOMER_SCHEMA),
});

/** What one site changes. */
export const OVERLAY_SCHEMA = z.strictObject({
  /** Failure domains of the site. */
  zones: z.array(NAME).min(1),
  /** Pipelines that the site offers. */
  offers: z.array(NAME),
  /** Customers whose limits differ here. */
  customers: z.record(
    NAME,
    z.strictObject({
      weight: POSITIVE.optional(),
      maxConcurrency: COUNT.optional(),
    }),
  ).default({}),
});

/** The whole configuration as it is published. */
export const CONFIGURATION_SCHEMA = z.strictObject({
  base: BASE_SCHEMA,
  sites: z.record(NAME, OVERLAY_SCHEMA),
  /** Failure domains that operators have taken out, at every site. */
  zonesOut: z.array(NAME).default([]),
});

/** The whole configuration after its defaults were filled in. */
export type Configuration = z.output<typeof CONFIGURATION_SCHEMA>;
/** The base part of {@link Configuration}. */
export type BaseConfiguration = z.output<typeof BASE_SCHEMA>;
/** One site's part of {@link Configuration}. */
export type SiteOverlay = z.output<typeof OVERLAY_SCHEMA>;
