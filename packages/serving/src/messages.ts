/**
 * Messages between VMs. Times are durations, since clocks differ.
 *
 * @module
 */
import type * as endpointSpeed from "@sardinestep/endpoint_speed";
import type * as quarantine from "@sardinestep/quarantine";
import type * as rollout from "@sardinestep/rollout";
import type { EndpointId, ServiceId, ZoneId } from "@sardinestep/types";
import type { DepartedMember } from "./departed_members.ts";
import type { LimitUpdate } from "./endpoint_limits.ts";
import type { LeavingEndpoint } from "./leaving_endpoints.ts";
import type { ShardId } from "./leaders.ts";
import type {
  ServingConfiguration,
  ServingEndpoint,
  ServingMember,
} from "./model.ts";
import type { PieceGroup } from "./piece_queue.ts";
import type { PoolLoad } from "./pool_load.ts";
import type { PieceResult } from "./stage_graph.ts";

/** How far a VM has read the records of operators, endpoints and members. */
export interface ReadPositions {
  /** Position in the operator's records; larger is newer. */
  readonly operatorPosition: number;
  /** Position in the endpoints' records; larger is newer. */
  readonly endpointPosition: number;
  /** Position in the members' records; larger is newer. */
  readonly memberPosition: number;
  /** Position in the VMs' quarantine records; larger is newer. */
  readonly quarantinePosition: number;
}

/** State set by the operator. */
export interface OperatorState {
  readonly configuration?: ServingConfiguration;
  /** Zones that are out of service. */
  readonly zonesOut: readonly ZoneId[];
  /**
   * Those that the registry had before it was restored and has not shown since; unset
   * if there are none.
   */
  readonly unverifiedZones?: readonly ZoneId[];
  /** Latest roll-out order of each service that has one. */
  readonly rolloutOrders: readonly rollout.RolloutOrder[];
}

/** Changes of endpoints since a position. */
export interface EndpointUpdate {
  readonly changed: readonly {
    readonly endpoint: ServingEndpoint;
    /** Time since the last record, in milliseconds. */
    readonly ageMs: number;
  }[];
  /** Removed endpoints, and when the removal takes effect, in ms. */
  readonly removed: readonly {
    readonly id: EndpointId;
    readonly dropInMs: number;
    /** Process and count of the last record. */
    readonly bornMs?: number;
    readonly sequence?: number;
  }[];
  /** Whether this is the complete list: endpoints not in it are removed. */
  readonly isWhole: boolean;
}

/** State that the sender has and the receiver lacks. */
export interface SiteUpdate extends ReadPositions {
  /** Set if the receiver has read less of the operator's records. */
  readonly operator?: OperatorState;
  /** Set if it has read less of the endpoints' records. */
  readonly endpoints?: EndpointUpdate;
  /** Set if it has read less of the members' records. */
  readonly members?: readonly ServingMember[];
  /** Set if it has read less of the quarantine records. */
  readonly quarantined?: readonly quarantine.QuarantineEntry[];
}

/** Load of a pool's shard, as reported by its leader. */
export interface ShardLoad {
  readonly service: ServiceId;
  readonly shard: ShardId;
  readonly load: PoolLoad;
}

/** A {@link ShardLoad} that was recently received from another VM. */
export interface RelayedLoad extends ShardLoad {
  readonly leader: string;
  readonly ageMs: number;
}

/** State that a VM sends with each exchange. */
export interface MemberView extends ReadPositions {
  readonly member: ServingMember;
  /** Whether it is shutting down and accepts no new work. */
  readonly isLeaving: boolean;
  /** Time since its state was confirmed to be the registry's latest, in ms. */
  readonly factsAgeMs: number;
  /** Loads of the shards that it leads. */
  readonly loads: readonly ShardLoad[];
  /** Loads received from leaders of other zones. */
  readonly heard: readonly RelayedLoad[];
  /** Roll-outs that it knows; undefined if there are none. */
  readonly rollouts?: readonly rollout.RolloutUpdate[];
  /** Rate limits that endpoints announced or lifted. */
  readonly limits?: readonly LimitUpdate[];
  /** Version of its configuration; unset before it has one. */
  readonly configurationVersion?: number;
  /** Endpoints that announced their shutdown. */
  readonly leaving?: readonly LeavingEndpoint[];
  /** VMs that stop or may have stopped; set only towards a VM that starts. */
  readonly departed?: readonly DepartedMember[];
  /** Whether it started recently and needs all that others know of endpoints. */
  readonly isStarting?: boolean;
  /** Whether it lost its links to several endpoints. */
  readonly isCutOff?: boolean;
  /** Endpoint crashes that it learned of recently. */
  readonly crashes?: readonly quarantine.CrashUpdate[];
  /**
   * Speeds that endpoints reported recently, at most 32; set only towards the VM that
   * collects them, and in its reply.
   */
  readonly hostSpeeds?: readonly endpointSpeed.SharedSpeed[];
}

/** Response of a VM to another VM's view. */
export interface ExchangeReply {
  readonly view: MemberView;
  /** What the requesting VM lacks, by the positions of its view. */
  readonly news?: SiteUpdate;
}

/** A {@link PieceGroup} as sent to a leader. */
export interface PieceGroupMessage
  extends Omit<PieceGroup, "dueAt" | "expiresAt" | "giveUpAt"> {
  readonly service: ServiceId;
  readonly shard: ShardId;
  readonly dueInMs: number;
  readonly expiresInMs: number;
  readonly giveUpInMs: number;
}

/** Reason for a group whose request has ended. */
export const CANCELLED = "cancelled";

/** Reason for a group whose request crashes endpoints. */
export const QUARANTINED = "quarantined";

/** Outcome of a group at its leader. */
export type PieceOutcome =
  | { readonly kind: "made"; readonly results: readonly PieceResult[] }
  /** It could not be made on time. */
  | { readonly kind: "late"; readonly waitedMs: number }
  /** One of its inputs is lost; the previous stage must run again. */
  | { readonly kind: "inputGone" }
  /** The leader can't make it: no endpoint, a failure, or a shutdown. */
  | { readonly kind: "unavailable"; readonly reason: string };
