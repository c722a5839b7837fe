/**
 * Tracks the health of VMs and endpoints, and picks the warmer of a cold endpoint.
 *
 * @module
 */
export * from "./limits.ts";
export * from "./rendezvous.ts";
export * from "./pause_detector.ts";
export {
  type ListedMember,
  type MemberLocation,
  NEVER_HEARD,
  type PeerIdentity,
} from "./member_row.ts";
export * from "./member_table.ts";
export type {
  EndpointObservation,
  EndpointSpec,
  ListedEndpointFacts,
} from "./endpoint_row.ts";
export * from "./endpoint_table.ts";
export * from "./warm_share.ts";
export * from "./warmer.ts";
export * from "./warmup_guard.ts";
