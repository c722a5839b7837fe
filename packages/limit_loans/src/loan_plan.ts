/**
 * How much of a rate limit a VM asks for, and how much it lends.
 *
 * @module
 */

/**
 * Time for which a loan may be used after it was asked for, in milliseconds. The
 * window of a share must exceed the one in which the endpoint counts by more.
 */
export const LOAN_MS = 350;
/** Time over which the sends are counted that predict the next ones, in ms. */
export const RECENT_MS = 350;
/** Part of a share that a VM keeps for its own callers. */
const KEPT_SHARE = 1 / 4;
/** Part of the recent sends from which on it asks if no more is left. */
const ASK_AT = 1 / 4;
/** Part of the recent sends that it asks for at a time. */
const ASKED = 1 / 2;
const MIN_ASKED = 2;
const MAX_ASKED = 64;

/** What a VM has of a limit, and what it uses. */
export interface AskInput {
  /** Sends that its share and its loans still allow. */
  readonly left: number;
  /** Its sends in the last {@link RECENT_MS}. */
  readonly recent: number;
}

/** What a lender has of a limit. */
export interface LoanInput {
  /** Its share: sends in a window. */
  readonly requests: number;
  /** Its own sends and its loans in the last window. */
  readonly sent: number;
  readonly asked: number;
}

/**
 * Plans how many sends a VM asks others for. A loan that ends unused is lost to all
 * VMs for a window, so it asks for little at a time, before it needs it.
 *
 * @returns 0 while it has enough for its next sends.
 * @example
 * ```ts
 * planAsk({ left: 1, recent: 6 }); // 3
 * ```
 */
export function planAsk({ left, recent }: AskInput): number {
  if (left > recent * ASK_AT) return 0;
  return Math.min(MAX_ASKED, Math.max(MIN_ASKED, Math.ceil(recent * ASKED)));
}

/**
 * Plans how many sends a VM lends.
 *
 * @returns At most what is asked, and nothing of what the VM keeps for itself.
 * @example
 * ```ts
 * planLoan({ requests: 8, sent: 1, asked: 10 }); // 5
 * ```
 */
export function planLoan({ requests, sent, asked }: LoanInput): number {
  const spare = requests - Math.floor(requests * KEPT_SHARE) - sent;
  return Math.max(0, Math.min(asked, spare));
}
