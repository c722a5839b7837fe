/**
 * RPC methods between processes of the system, and between the command line and
 * the control processes.
 *
 * @module
 */
import type {
  ClaimId,
  ClaimRecord,
  KeyId,
  KeyStatus,
} from "@sardinestep/claims";
import type { Failure } from "@sardinestep/codes";
import type {
  ConfigurationRecord,
  JudgedSnapshot,
  VersionedConfiguration,
} from "@sardinestep/configuration";
import type { CustomerDemand } from "@sardinestep/decisions";
import type * as limitLoans from "@sardinestep/limit_loans";
import type * as serving from "@sardinestep/serving";
import type { TimelineEvent, TimelineFilter } from "@sardinestep/timeline";
import type {
  Address,
  CustomerId,
  EndpointFacts,
  EndpointId,
  InstanceId,
  LoadReport,
  MemberFacts,
  ServiceId,
  SiteId,
  StageResult,
  VmId,
  ZoneId,
} from "@sardinestep/types";

/** A lookup of kept results by an entry that will run the missing stages. */
export interface FindResultsParams {
  readonly keyId: KeyId;
  /** The requesting entry process. */
  readonly runner: InstanceId;
  /** How long it counts as running the key. */
  readonly runInMs: number;
}

/** Results that a holder keeps for a key. */
export interface FoundResults {
  readonly results: readonly StageResult[];
  /** Another entry process that is currently running the key. */
  readonly runningAt?: InstanceId;
}

/** Identity of the calling process, sent with the first call on a connection. */
export interface Identity {
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly instance: InstanceId;
  readonly rpc: Address;
}

/** Complete state that a control process sends to an entry. */
export interface ControlState {
  readonly configuration?: VersionedConfiguration;
  readonly members: readonly MemberFacts[];
  readonly endpoints: readonly EndpointFacts[];
  readonly loads: readonly LoadReport[];
  readonly logReachable: boolean;
}

/** An entry's request for control's view of the members. */
export interface ViewRequest {
  readonly vmId: VmId;
  /** Demand per customer at this entry. */
  readonly demand: readonly CustomerDemand[];
}

/** Control's view of the members. */
export interface ViewReply {
  readonly isFresh: boolean;
  readonly members: readonly MemberFacts[];
  /** Demand at other entries; entries without a known demand are omitted. */
  readonly otherDemands: readonly EntryDemand[];
}

/** Demand per customer at one entry. */
export interface EntryDemand {
  readonly vmId: VmId;
  readonly demand: readonly CustomerDemand[];
}

/** Result of a claim that an entry asked control to append. */
export type ClaimVerdict =
  /** The claim is the first for its key: only this entry may dispatch. */
  | { readonly kind: "won" }
  /** Another claim was first. */
  | { readonly kind: "lost"; readonly status: KeyStatus }
  /** The key is older than the window that the log covers. */
  | { readonly kind: "expired" }
  /** The log did not settle the claim in time; it must be abandoned. */
  | { readonly kind: "unsettled"; readonly retryAfterMs: number };

/** Status of a key in the memory of one entry. */
export type AnswerStatus =
  | { readonly kind: "none" }
  | { readonly kind: "running" }
  | { readonly kind: "completed"; readonly body: unknown }
  | { readonly kind: "unknown" }
  /** The key never ran here and never will. */
  | { readonly kind: "closed" };

/** Result of publishing a configuration. */
export type PublishVerdict =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "lost"; readonly inForce: number; readonly author: string }
  | { readonly kind: "invalid"; readonly faults: readonly string[] }
  | { readonly kind: "log_unavailable" }
  | { readonly kind: "unknown" };

/** One record of the configuration stream, evaluated at its offset. */
export interface HistoryRow {
  readonly offset: number;
  readonly time: number;
  readonly recordId: string;
  readonly author: string;
  readonly note: string;
  readonly base: number;
  /** The version that it created; undefined if it was not accepted. */
  readonly version?: number;
}

/** Status of one process, for operators. */
export interface ProcessStatus extends Identity {
  readonly pid: number;
  readonly startedAt: number;
  readonly state: "starting" | "ready" | "leaving";
  readonly configVersion: number;
  /** Control only: whether the log is reachable, and the offsets read so far. */
  readonly log?: {
    readonly reachable: boolean;
    readonly claimsReadThrough: number;
    readonly configurationReadThrough: number;
  };
  readonly counters: Readonly<Record<string, number>>;
}

/** An endpoint with its latest load report, for operators. */
export interface EndpointStatus {
  readonly facts: EndpointFacts;
  readonly load?: LoadReport;
}

/** State that control processes exchange at every gossip interval. */
export interface GossipMessage {
  readonly identity: Identity;
  readonly members: readonly MemberFacts[];
  readonly configVersion: number;
  /** Whether the sender evaluates records itself; otherwise it needs a snapshot. */
  readonly isJudging: boolean;
  /** Endpoints with changes that some readers may not have received. */
  readonly endpoints: readonly EndpointFacts[];
  /** Demand at entries that are connected to the sender. */
  readonly demands: readonly EntryDemand[];
}

/** Reply of a control process to gossip. */
export interface GossipReply {
  readonly identity: Identity;
  /** Set when the responder has a higher version than the sender. */
  readonly configuration?: VersionedConfiguration;
  /** Set when the responder evaluates records and the sender does not. */
  readonly snapshot?: JudgedSnapshot;
  readonly configVersion: number;
  readonly members: readonly MemberFacts[];
  readonly endpoints: readonly EndpointFacts[];
  /** Demand at entries that are connected to the responder. */
  readonly demands: readonly EntryDemand[];
}

/** Parameters and result of every method, by method name. */
export interface Methods {
  /** Both: proves that the process is alive and returns its identity. */
  ping: { params: Record<never, never>; result: Identity };
  /** Both: status for operators. */
  status: { params: Record<never, never>; result: ProcessStatus };
  /** Gateways: exchanges views of the cluster and the load of pools. */
  exchangeViews: {
    params: serving.MemberView;
    result: serving.ExchangeReply;
  };
  /** Gateways: asks the leader of a pool to run pieces of a stage. */
  runPieces: {
    params: serving.PieceGroupMessage;
    result: serving.PieceOutcome;
  };
  /** Gateways: drops the queued pieces of a request that has ended. */
  cancelPieces: {
    params: {
      readonly service: ServiceId;
      readonly shard: serving.ShardId;
      readonly requestId: string;
    };
    result: true;
  };
  /** Gateways: asks a VM for parts of its shares of rate limits. */
  lendSends: {
    params: { readonly asks: readonly limitLoans.LoanAsk[] };
    result: readonly number[];
  };
  /** Gateways: releases results that will not be read again. */
  releaseResults: {
    params: {
      readonly service: ServiceId;
      readonly shard: serving.ShardId;
      readonly handles: readonly string[];
    };
    result: true;
  };

  /** Both: timeline events that the process keeps. */
  timeline: { params: TimelineFilter; result: readonly TimelineEvent[] };

  /** Control, from entries: subscribes, returns the state; `news` updates follow. */
  subscribe: { params: Identity; result: ControlState };
  /** Control, from entries: settles a claim through the log. */
  claim: {
    params: { readonly record: ClaimRecord; readonly boundMs: number };
    result: ClaimVerdict;
  };
  /** Control, from entries: queues releases and outcomes until the log takes them. */
  recordLater: {
    params: { readonly records: readonly ClaimRecord[] };
    result: { readonly queued: number };
  };
  /** Control, from entries: reports a change of an endpoint's state. */
  reportEndpoint: {
    params: {
      readonly endpointId: EndpointId;
      readonly instance: InstanceId;
      readonly news: "silent" | "cold" | "warm" | "leaving" | "answered";
    };
    result: Record<never, never>;
  };
  /**
   * Control, from entries: returns the members and whether control's view of them
   * is fresh. The result holds as of the moment at which the call was sent.
   */
  readView: { params: ViewRequest; result: ViewReply };
  /** Control, from control: exchanges gossip. */
  gossip: { params: GossipMessage; result: GossipReply };

  /** Control, from operators: this and the methods down to `lookUpKey`. */
  configuration: {
    params: Record<never, never>;
    result: VersionedConfiguration | null;
  };
  history: { params: Record<never, never>; result: readonly HistoryRow[] };
  publish: {
    params: Extract<ConfigurationRecord, { kind: "publish" }>;
    result: PublishVerdict;
  };
  endpoints: {
    params: Record<never, never>;
    result: readonly EndpointStatus[];
  };
  members: { params: Record<never, never>; result: readonly MemberFacts[] };
  lookUpKey: {
    params: { readonly key: string; readonly customer?: CustomerId };
    result: readonly {
      readonly keyId: KeyId;
      readonly status: KeyStatus;
      readonly readThrough: number;
    }[];
  };

  /** Entry, from entries: keeps the result of a finished stage or an answer. */
  keepResult: {
    params: {
      readonly result: StageResult;
      readonly keepMs: number;
    };
    result: Record<never, never>;
  };
  /**
   * Entry, from entries: returns the stage results kept under a key and the entry
   * that runs it. The caller counts as running it from then on, unless another
   * entry does.
   */
  findResults: { params: FindResultsParams; result: FoundResults };
  /** Entry, from entries: the caller no longer runs the key. */
  endRun: {
    params: { readonly keyId: KeyId; readonly runner: InstanceId };
    result: Record<never, never>;
  };
  /** Entry, from entries: returns the status of a key that this entry holds. */
  findAnswer: {
    params: {
      readonly keyId: KeyId;
      readonly waitMs: number;
      /** Set if the caller knows the claim; omitted for minted keys. */
      readonly id?: ClaimId;
    };
    result: AnswerStatus;
  };
  /** Entry, from entries: runs a request under a key that this entry minted. */
  runMinted: {
    params: {
      readonly customer: CustomerId;
      readonly key: string;
      readonly pipeline: string;
      /** The unmodified body: a key is bound to the hash of its request body. */
      readonly bodyText: string;
      readonly deadlineInMs: number;
    };
    result: MintedAnswer;
  };
  /** Entry, from a leaving entry: takes over its minted keys, for answers only. */
  handOver: { params: HandOver; result: { readonly kept: number } };
}

/** The final answer to a request that another entry ran. */
export type MintedAnswer =
  | {
    readonly kind: "completed";
    readonly output: unknown;
    readonly cost: {
      readonly calls: number;
      readonly tokens: number;
      readonly workerMs: number;
    };
    readonly isReplayed: boolean;
  }
  | { readonly kind: "refused"; readonly failure: Failure };

/** Status of the keys minted by a leaving entry, sent to another entry. */
export interface HandOver {
  readonly instance: InstanceId;
  readonly answers: readonly {
    readonly keyId: KeyId;
    readonly status: Exclude<AnswerStatus, { kind: "none" }>;
  }[];
  /**
   * A key that is not listed and was minted at or after this time, by the clock of
   * the leaving instance, never ran and never will.
   */
  readonly unusedClosedFromMs: number;
}

/** Notifications, which have no response. */
export interface Notifications {
  /** Control to its entries: the changes since the previous notification. */
  news: Partial<ControlState>;
}

/** The name of a method. */
export type MethodName = keyof Methods;
