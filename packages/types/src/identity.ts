/**
 * Aliases for identifiers, addresses and log offsets.
 *
 * @module
 */

/** One run of an entry or control process; it changes with each start. */
export type InstanceId = string;

/** A VM of the system, as named in its settings. */
export type VmId = string;

/** A zone, which is one failure domain. */
export type ZoneId = string;

/** A site, which applies its own overlay to the base configuration. */
export type SiteId = string;

/** A customer that sends requests and has a share of the capacity. */
export type CustomerId = string;

/** A backend worker: one address that runs stages of one service. */
export type EndpointId = string;

/** A pool of endpoints that run the same stage, or a plain service. */
export type ServiceId = string;

/** A pipeline of one to six stages. */
export type PipelineId = string;

/** One request within one entry. */
export type RequestId = string;

/** One call of one stage to one endpoint. */
export type CallId = string;

/** An offset in a stream of the log service. */
export type Offset = number;

/** A TCP address as IP address and port, such as `127.0.0.1:7000`. */
export type Address = string;
