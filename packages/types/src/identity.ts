/**
 * Identifiers. All are strings; the aliases say which one is meant.
 *
 * @module
 */

/** One run of one entry or control process: a new one after each start. */
export type InstanceId = string;

/** A VM of the system, as its settings name it. */
export type VmId = string;

/** A failure domain, the brief's zone. */
export type ZoneId = string;

/** A site, which takes the base configuration with its own overlay. */
export type SiteId = string;

/** A customer that sends requests and has a share of the capacity. */
export type CustomerId = string;

/** A back end's worker: one address that runs stages of one service. */
export type EndpointId = string;

/** A pool of endpoints that run the same stage, or a plain service. */
export type ServiceId = string;

/** A pipeline of one to six stages. */
export type PipelineId = string;

/** One request inside one entry. */
export type RequestId = string;

/** One call of one stage to one endpoint. */
export type CallId = string;

/** An offset in a stream of the log service. */
export type Offset = number;

/** A TCP address by IP number, such as `127.0.0.1:7000`. */
export type Address = string;
