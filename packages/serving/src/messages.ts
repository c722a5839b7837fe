/**
 * What VMs say to each other. Times are durations, since clocks differ.
 *
 * @module
 */
import type { ServiceId, ZoneId } from "@sardinestep/types";
import type {
  ServingConfiguration,
  ServingEndpoint,
  ServingMember,
} from "./model.ts";
import type { PieceGroup, PoolLoad } from "./piece_queue.ts";
import type { PieceResult } from "./stage_graph.ts";

/** Facts that VMs pass to each other. */
export interface SiteFacts {
  /** Counts the operator's writes; larger is newer. */
  readonly operatorPosition: number;
  readonly configuration?: ServingConfiguration;
  readonly zonesOut: readonly ZoneId[];
  /** Counts the endpoints' writes; larger is newer. */
  readonly endpointPosition: number;
  readonly endpoints: readonly ServingEndpoint[];
  readonly members: readonly ServingMember[];
}

/** What a VM tells with each exchange. */
export interface MemberView {
  readonly member: ServingMember;
  /** It is shutting down and takes no new work. */
  readonly isLeaving: boolean;
  readonly operatorPosition: number;
  readonly endpointPosition: number;
  /** Loads of the pools that it leads. */
  readonly loads: Readonly<Record<ServiceId, PoolLoad>>;
}

/** A {@link PieceGroup} on its way to a leader. */
export interface PieceGroupMessage
  extends Omit<PieceGroup, "dueAt" | "expiresAt" | "giveUpAt"> {
  readonly service: ServiceId;
  readonly dueInMs: number;
  readonly expiresInMs: number;
  readonly giveUpInMs: number;
}

/** Reason of a group whose request has ended. */
export const CANCELLED = "cancelled";

/** How a group ended at its leader. */
export type PieceOutcome =
  | { readonly kind: "made"; readonly results: readonly PieceResult[] }
  /** It could not be made in time. */
  | { readonly kind: "late"; readonly waitedMs: number }
  /** A result that it reads is lost; the stage before must run again. */
  | { readonly kind: "inputGone" }
  /** The leader can't serve it: no endpoint, a failure, or it is leaving. */
  | { readonly kind: "unavailable"; readonly reason: string };
