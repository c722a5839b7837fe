/**
 * Limits that the operator sets and may change while the gateway runs.
 *
 * @module
 */
import type * as rollout from "@sardinestep/rollout";
import type * as serving from "@sardinestep/serving";

/** Limits that the operator sets for all VMs. */
export interface GatewayBounds {
  readonly repeatRatio: number;
  readonly repeatExtra: number;
  readonly repeatWindowMs: number;
  readonly cold: serving.ColdLimit;
  readonly rollout: rollout.RolloutSettings;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /**
   * Shortest of the deadlines by which a VM must apply a change in the registry (an
   * endpoint that leaves, a new configuration, a zone that is taken out), in ms.
   */
  readonly registryDeadlineMs: number;
  /**
   * Whether callers compete for capacity that is known to be short, so that
   * overload control applies from the start. It also applies once an endpoint
   * has reported the speed of its host.
   */
  readonly isContended?: boolean;
}

/** Returns the limits of the retry budget. */
export function getRetryBudgetOptions(
  bounds: GatewayBounds,
): serving.RetryBudgetOptions {
  return {
    ratio: bounds.repeatRatio,
    extra: bounds.repeatExtra,
    windowMs: bounds.repeatWindowMs,
  };
}
