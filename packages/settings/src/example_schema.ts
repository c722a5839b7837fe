/**
 * Schemas of the data files of an example: its VMs and workers, its customers'
 * demo credentials and its requests. Demo and benches read these; the daemons
 * don't.
 *
 * @module
 */
import { ENDPOINT_ROLE } from "@sardinestep/types";
import * as z from "zod";

const NAME = z.string().min(1).max(63);
const COUNT = z.int().min(1);
const DURATION_MS = z.number().min(0);

/** `deployment.json`: what runs where. */
export const DEPLOYMENT_SCHEMA = z.strictObject({
  /** VMs of the system: one entry and one control each. */
  vms: z.array(z.strictObject({ vmId: NAME, zone: NAME, site: NAME })).min(1),
  /** Workers of the services, which stand-ins play. */
  workers: z.array(z.strictObject({
    endpointId: NAME,
    service: NAME,
    role: z.enum(ENDPOINT_ROLE),
    zone: NAME,
    /** Calls at once that it bears while cold. */
    coldConcurrency: COUNT,
    /** Calls at once that it bears when warm. */
    warmConcurrency: COUNT,
    /** Time of a call, or of a stream before its first part. */
    serviceMs: DURATION_MS,
    /** Parts of a stream; 0 where the worker does not stream. */
    tokens: z.int().min(0),
    /** Time of one part. */
    partMs: DURATION_MS.default(0),
  })).min(1),
});

/** `customers.json`: demo credentials; the configuration has their hashes. */
export const DEMO_CUSTOMERS_SCHEMA = z.record(
  NAME,
  z.strictObject({ credential: z.string().min(1) }),
);

/** `requests.json`: requests that callers send. */
export const REQUESTS_SCHEMA = z.array(z.strictObject({
  /** What the caller wants, for people. */
  name: z.string().min(1),
  customer: NAME,
  credential: z.string().min(1),
  pipeline: NAME,
  body: z.strictObject({
    input: z.unknown(),
    size: z.number().positive().optional(),
    prefix: z.string().optional(),
  }),
  deadlineMs: COUNT,
  /** Whether the pipeline has a stage that may not be repeated. */
  needsKey: z.boolean(),
})).min(1);

/** What runs where in an example. */
export type Deployment = z.output<typeof DEPLOYMENT_SCHEMA>;
/** Demo credentials by customer. */
export type DemoCustomers = z.output<typeof DEMO_CUSTOMERS_SCHEMA>;
/** One request of an example. */
export type ExampleRequest = z.output<typeof REQUESTS_SCHEMA>[number];
