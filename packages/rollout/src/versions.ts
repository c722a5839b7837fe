/**
 * Decides which requests an endpoint may get by the version of its software.
 *
 * @module
 */
import { SIDE, type Side } from "./answer_counts.ts";
import { ROLLOUT_STATE, type RolloutOrder } from "./order.ts";
import type { RolloutPhase } from "./phase.ts";

/** Requests that an endpoint may get: those of one version, or none. */
export type VersionUse = Side | "none";

/** Input of {@link decideVersionUse}. */
export interface DecideVersionUseOptions {
  readonly version: string;
  /** Versions that were in service before the order. */
  readonly established: ReadonlySet<string>;
  readonly order?: RolloutOrder;
  readonly phase?: RolloutPhase;
}

/**
 * Decides which requests an endpoint of a version may get.
 *
 * Guards against a version that was never ordered or was rolled back: its endpoints
 * register like all others and would get their share of the requests.
 *
 * @param options The endpoint's version and the service's order.
 */
export function decideVersionUse(
  options: DecideVersionUseOptions,
): VersionUse {
  const { version, established, order, phase } = options;
  const isTarget = version === order?.target;
  const isSucceeded = phase?.kind === "settled" &&
    phase.state === ROLLOUT_STATE.succeeded;
  if (isSucceeded) return isTarget ? SIDE.present : "none";
  if (isTarget) return SIDE.target;
  return established.has(version) ? SIDE.present : "none";
}

/**
 * Decides whether streams that began at a version may go on there, also where it gets
 * no new ones: not if its roll-out was stopped, since the version proved bad.
 *
 * @param options The version and the service's order.
 */
export function mayResumeAt(
  { version, order, phase }: Omit<DecideVersionUseOptions, "established">,
): boolean {
  if (version !== order?.target) return true;
  const isRolledBack = phase?.kind === "settled" &&
    phase.state !== ROLLOUT_STATE.succeeded;
  return phase?.kind !== "stopped" && !isRolledBack;
}

/** Input of {@link planEstablishedVersions}. */
export interface PlanEstablishedVersionsOptions {
  /** Versions that were established before. */
  readonly known: ReadonlySet<string>;
  /** Versions of the endpoints that are registered now. */
  readonly registered: ReadonlySet<string>;
  readonly order?: RolloutOrder;
  readonly phase?: RolloutPhase;
}

/**
 * Plans the versions that are in service without an order: the first to register,
 * for as long as one of their endpoints is registered.
 *
 * Guards against a service whose endpoints get no requests because all of them were
 * replaced by another version without an order.
 */
export function planEstablishedVersions(
  options: PlanEstablishedVersionsOptions,
): ReadonlySet<string> {
  const { known, registered, order, phase } = options;
  const isSucceeded = phase?.kind === "settled" &&
    phase.state === ROLLOUT_STATE.succeeded;
  if (order !== undefined && isSucceeded) return new Set([order.target]);
  if ([...known].some((version) => registered.has(version))) return known;
  const others = [...registered].filter((version) => version !== order?.target);
  return new Set(others);
}
