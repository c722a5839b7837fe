/**
 * Types that the steps of a request share.
 *
 * @module
 */
import type * as codes from "@sardinestep/codes";
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import type * as quarantine from "@sardinestep/quarantine";
import type * as serving from "@sardinestep/serving";
import type * as streamVersions from "@sardinestep/stream_versions";
import type { ServiceId } from "@sardinestep/types";
import type { AnswerWriter, CompleteAnswer } from "./answer_writer.ts";
import type { StreamEnd } from "./attempt.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { HttpPool } from "./http_pool.ts";
import type { PeerMesh } from "./peer_mesh.ts";
import type { PieceRouter } from "./piece_router.ts";
import type { CallerMetadata, WireAdapter } from "./ports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RequestScope } from "./request_scope.ts";
import type { Rollouts } from "./rollouts.ts";
import type { SiteState } from "./site_state.ts";
import type { ForecastState } from "./stage_forecast.ts";
import type { TruncationCause } from "./truncation.ts";

/** The parts of the gateway that process requests. */
export interface FlowDependencies {
  readonly zone: string;
  readonly site: SiteState;
  readonly endpointTracker: EndpointTracker;
  readonly pool: HttpPool;
  readonly wire: WireAdapter;
  readonly router: PieceRouter;
  readonly mesh: PeerMesh;
  readonly retryBudget: serving.RetryBudget;
  readonly rollouts: Rollouts;
  readonly quarantine: RequestQuarantine;
  readonly streamNotes: streamVersions.NoteExchange;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  readonly forecast: ForecastState;
  /** Progress of this VM's shutdown; undefined unless it is stopping. */
  readonly getStopState: () => serving.ShutdownState | undefined;
  /** Whether overload control and speed-aware placement apply. */
  readonly isContended: () => boolean;
}

/** A caller's request with its complete body. */
export interface ArrivedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly body?: Uint8Array;
  readonly caller: CallerMetadata;
  readonly scope: RequestScope;
  readonly writer: AnswerWriter;
}

/** A request with its route, customer and service. */
export interface RoutedRequest extends ArrivedRequest {
  readonly requestId: string;
  readonly fingerprint: quarantine.Fingerprint;
  /** Parts of its prompt that other requests may share. */
  readonly partKeys: readonly quarantine.PartKey[];
  readonly table: serving.RouteTable;
  readonly route: serving.Route;
  readonly service: ServiceId;
  readonly customer?: string;
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
  readonly session?: serving.PromptPart;
  /** Version that began the stream which this request takes up again. */
  readonly streamVersion?: streamVersions.VersionTag;
  /** Longest time from arrival to the final answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** How forwarding ended. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly answer: CompleteAnswer }
  | { readonly kind: "streamed"; readonly end: StreamEnd }
  /** A stream started, but could not be completed. */
  | {
    readonly kind: "brokenOff";
    readonly cause: TruncationCause;
    readonly reason: string;
  }
  | { readonly kind: "failure"; readonly failure: codes.Failure }
  | {
    readonly kind: "ended";
    readonly mayHaveRun: boolean;
    /** Where a stream ended that had begun. */
    readonly end?: Partial<StreamEnd>;
  };
