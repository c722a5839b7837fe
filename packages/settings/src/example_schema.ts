/**
 * Schemas of the data files of an example: its VMs and workers, its customers'
 * demo credentials and its requests. The demo and the benchmarks read them; the
 * daemons don't.
 *
 * @module
 */
import { ENDPOINT_ROLE } from "@sardinestep/types";
import * as z from "zod";

const NAME = z.string().min(1).max(63);
const COUNT = z.int().min(1);
const DURATION_MS = z.number().min(0);

/** `deployment.json`: VMs and workers with their placement. */
export const DEPLOYMENT_SCHEMA = z.strictObject({
  /** VMs of the system; each runs one entry and one control process. */
  vms: z.array(z.strictObject({ vmId: NAME, zone: NAME, site: NAME })).min(1),
  /** Workers of the services, which the demo simulates. */
  workers: z.array(z.strictObject({
    endpointId: NAME,
    service: NAME,
    role: z.enum(ENDPOINT_ROLE),
    zone: NAME,
    /** Maximum concurrent calls while cold. */
    coldConcurrency: COUNT,
    /** Maximum concurrent calls once warm. */
    warmConcurrency: COUNT,
    /** Duration of a call, or time to the first part of a stream. */
    serviceMs: DURATION_MS,
    /** Number of parts in a stream; 0 if the worker does not stream. */
    tokens: z.int().min(0),
    /** Time per part. */
    partMs: DURATION_MS.default(0),
  })).min(1),
});

/** `customers.json`: demo credentials; the configuration has their hashes. */
export const DEMO_CUSTOMERS_SCHEMA = z.record(
  NAME,
  z.strictObject({ credential: z.string().min(1) }),
);

/** `requests.json`: requests that callers send. */
export const EXAMPLE_REQUESTS_SCHEMA = z.array(z.strictObject({
  /** Description of the request for readers. */
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

/** VMs and workers of an example. */
export type Deployment = z.output<typeof DEPLOYMENT_SCHEMA>;
/** Demo credentials by customer. */
export type DemoCustomers = z.output<typeof DEMO_CUSTOMERS_SCHEMA>;
/** One request of an example. */
export type ExampleRequest = z.output<typeof EXAMPLE_REQUESTS_SCHEMA>[number];
