/**
 * The context of one request and the filter chain that handles it.
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

/** A request as received from the caller, before any validation. */
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
  /** Whether another entry has authenticated and forwarded the request. */
  readonly isForwarded: boolean;
}

/** The validated body of a request. */
export interface RequestBody {
  readonly input: unknown;
  /** Size relative to a request of unit size. */
  readonly size: number;
  /** Start of the prompt, shared with other requests. */
  readonly prefix?: string;
}

/** Receives the parts of a streamed answer. */
export interface PartSink {
  /** Sends a part; parts arrive in order of sequence. */
  sendPart(sequence: number, text: string): void;
  /** Discards the parts sent so far: another endpoint starts over. */
  sendRestart(): void;
}

/**
 * Notifies when a caller disconnects before its answer. Not an AbortSignal:
 * creating one and its listener showed up in the profile of the hot path.
 */
export interface CallerConnection {
  /** Adds a handler that is called at most once. */
  addDisconnectHandler(handler: () => void): void;
}

/**
 * State of one request in the filter chain. Each filter sets the fields named
 * in its doc comment; later filters rely on them.
 */
export interface RequestContext {
  readonly incoming: IncomingRequest;
  readonly site: SiteState;
  readonly callerConnection: CallerConnection;
  readonly sink?: PartSink;
  customer: CustomerId;
  pipeline: PipelineSpec;
  body: RequestBody;
  /** Monotonic milliseconds. */
  deadlineAt: number;
  /** Set if the caller sent an idempotency key. */
  keyId?: claims.KeyId;
  /** Hash of pipeline and body; set with the key. */
  fingerprint: string;
  /** Whether the pipeline has a stage that must run at most once. */
  isAtMostOnce: boolean;
  /** Whether the outcome of earlier attempts under the key is proved. */
  isKeySettled: boolean;
  /** Set once this entry may dispatch the at-most-once stage. */
  claimant?: Claimant;
  /** Results kept from an earlier attempt: stages 0 to n without a gap. */
  priorResults: readonly StageResult[];
}

/** One step of the chain: returns an answer or calls the next filter. */
export type Filter = (
  context: RequestContext,
  next: () => Promise<RequestAnswer>,
) => Promise<RequestAnswer>;

/**
 * Runs a request through a chain of filters.
 *
 * @param filters In order; the last one must not call `next`.
 * @param context The request.
 * @returns The final answer.
 */
export function runFilters(
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
  if (!filter) throw new Error("The last filter must not call next");
  return filter(context, () => runFrom(filters, position + 1, context));
}

/**
 * Returns the key under which a request's stage results are kept. It includes
 * the fingerprint, so that a request with the same idempotency key and another
 * body never gets these results.
 *
 * @param context The request.
 * @returns The result key, or undefined for a request without an idempotency key.
 */
export function getResultKey(
  context: RequestContext,
): claims.KeyId | undefined {
  const { keyId, fingerprint } = context;
  if (!keyId) return undefined;
  return { customer: keyId.customer, key: `${keyId.key}.${fingerprint}` };
}
