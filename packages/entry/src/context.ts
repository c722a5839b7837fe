/**
 * What the filters know of one request.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import type {
  CustomerId,
  PipelineSpec,
  RequestId,
  StageResult,
} from "@sardinestep/types";
import type { RequestAnswer } from "./answer.ts";
import type { Claimant } from "./claimant.ts";
import type { SiteState } from "./site_state.ts";

/** A request as it came from the caller; nothing of it has been checked. */
export interface IncomingRequest {
  readonly requestId: RequestId;
  readonly pipeline: string;
  readonly customer?: string;
  readonly authorization?: string;
  readonly deadlineMs?: string;
  readonly key?: string;
  readonly bodyText: string;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Set when another entry forwarded a request that it has authenticated. */
  readonly isForwarded: boolean;
}

/** The checked body of a request. */
export interface RequestBody {
  readonly input: unknown;
  /** Size relative to a request of unit size. */
  readonly size: number;
  /** Text that starts the prompt and is shared with other requests. */
  readonly prefix?: string;
}

/** Takes the parts of a streamed answer. */
export interface PartSink {
  /** A part in order of sequence. */
  sendPart(sequence: number, text: string): void;
  /** The parts so far are void: another endpoint starts over. */
  sendRestart(): void;
}

/**
 * Tells when a caller has gone before its answer. Not an AbortSignal: its
 * creation and its listener showed in the profile of the hot path.
 */
export interface CallerWatch {
  /** The handler is called once at most. */
  addGoneHandler(handler: () => void): void;
}

/**
 * One request on its way through the filters. A filter sets the fields that its
 * doc comment names; later filters rely on them.
 */
export interface RequestContext {
  readonly incoming: IncomingRequest;
  readonly site: SiteState;
  /** Tells of a caller that has gone. */
  readonly callerGone: CallerWatch;
  readonly sink?: PartSink;
  customer: CustomerId;
  pipeline: PipelineSpec;
  body: RequestBody;
  /** Monotonic milliseconds. */
  deadlineAt: number;
  /** Set when the caller sent a key. */
  keyId?: claims.KeyId;
  /** Hash of pipeline and body; set with the key. */
  fingerprint: string;
  /** Whether a stage of the pipeline may not be repeated. */
  isSingle: boolean;
  /** Whether it is proved what ran under the key before this attempt. */
  isKeySettled: boolean;
  /** Set once this entry may dispatch the stage that may not be repeated. */
  claimant?: Claimant;
  /** Results of earlier stages that are held already, from stage 0 on. */
  priorResults: readonly StageResult[];
}

/** One step of the chain: answers by itself or hands on to the next. */
export type Filter = (
  context: RequestContext,
  next: () => Promise<RequestAnswer>,
) => Promise<RequestAnswer>;

/**
 * Runs a request through a chain of filters.
 *
 * @param filters In order; the last one must answer.
 * @param context The request.
 * @returns The one final answer.
 */
export function runChain(
  filters: readonly Filter[],
  context: RequestContext,
): Promise<RequestAnswer> {
  return runFrom(filters, 0, context);
}

function runFrom(
  filters: readonly Filter[],
  position: number,
  context: RequestContext,
): Promise<RequestAnswer> {
  const filter = filters[position];
  if (!filter) throw new Error("Cannot run past the last filter");
  return filter(context, () => runFrom(filters, position + 1, context));
}

/**
 * Names a request's kept results. The fingerprint is part of the name, so that
 * results never reach a request with another body under the same key.
 *
 * @param context A request with a key.
 * @returns The name, or undefined for a request without a key.
 */
export function getResultKey(
  context: RequestContext,
): claims.KeyId | undefined {
  const { keyId, fingerprint } = context;
  if (!keyId) return undefined;
  return { customer: keyId.customer, key: `${keyId.key}.${fingerprint}` };
}
