/**
 * Services whose endpoints crash if they have to reject too many requests.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";

/** Lowest bound that pauses are planned for, in rejections a second. */
const MIN_REJECTIONS_PER_SECOND = 0.5;
/** Share of an endpoint's bound that all VMs together use. */
const USED_SHARE = 0.5;
/** Spread of pauses around their mean, so that VMs don't return together. */
const PAUSE_SPREAD = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Tracks the services whose endpoints say that they are brittle. All endpoints of a
 * service say so at the same time, in every answer.
 */
export class BrittleServices {
  readonly #bounds = new Map<ServiceId, number>();

  /** Rejections a second that an endpoint survives; undefined if not brittle. */
  get(service: ServiceId): number | undefined {
    return this.#bounds.get(service);
  }

  /**
   * Records what an answer states.
   *
   * @returns Whether that is new.
   */
  record(service: ServiceId, perSecond: number | undefined): boolean {
    if (this.#bounds.get(service) === perSecond) return false;
    if (perSecond === undefined) this.#bounds.delete(service);
    else this.#bounds.set(service, perSecond);
    return true;
  }
}

/** Options of {@link planRejectionPause}. */
export interface RejectionPauseOptions {
  /** Rejections a second that the endpoint survives. */
  readonly perSecond: number;
  /** VMs that may send to the endpoint. */
  readonly senders: number;
  /** From 0 up to 1. */
  readonly random: number;
}

/**
 * Returns how long a VM sends nothing to a brittle endpoint that rejected its request,
 * in milliseconds. With one attempt of each VM in that time, all VMs together stay
 * below the bound.
 *
 * @example
 * ```ts
 * planRejectionPause({ perSecond: 6, senders: 9, random: 0.5 }); // 3_000
 * ```
 */
export function planRejectionPause(
  { perSecond, senders, random }: RejectionPauseOptions,
): number {
  const rate = USED_SHARE * Math.max(MIN_REJECTIONS_PER_SECOND, perSecond);
  const meanMs = MS_PER_SECOND * senders / rate;
  return meanMs * (1 - PAUSE_SPREAD + 2 * PAUSE_SPREAD * random);
}

/** Options of {@link planBrittleShare}. */
export interface BrittleShareOptions {
  readonly slots: number;
  /** VMs that may send to the endpoint. */
  readonly senders: number;
  /** Whether the endpoint rejected this VM's last request. */
  readonly wasRejected: boolean;
}

/**
 * Returns how many requests a VM may have in flight at a brittle endpoint: its share
 * of the slots, so that none has to wait there; one after a rejection.
 */
export function planBrittleShare(
  { slots, senders, wasRejected }: BrittleShareOptions,
): number {
  return wasRejected ? 1 : Math.max(1, Math.floor(slots / senders));
}
