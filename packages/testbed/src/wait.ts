/**
 * Waiting for events in place of sleeping.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Bound and name of a wait. */
export interface WaitOptions {
  /** What is waited for, for the error message. */
  readonly what: string;
  /** The wait fails after so long; generous, for it decides no verdict. */
  readonly boundMs?: number;
}

/**
 * Polls until a check returns a value other than `undefined` or `false`.
 *
 * @param check Asked again and again; its exceptions count as "not yet".
 * @param options What is waited for and for how long at most.
 * @returns What the check returned.
 * @throws {Error} When the bound has passed.
 * @example
 * ```ts
 * await waitFor(() => readStatus(entry).configVersion === 2, { what: "version 2" });
 * ```
 */
export async function waitFor<T>(
  check: () => T | undefined | false | Promise<T | undefined | false>,
  options: WaitOptions,
): Promise<T> {
  const boundMs = options.boundMs ?? 15_000;
  const endAt = performance.now() + boundMs;
  let lastError: unknown;
  while (performance.now() < endAt) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  const cause = lastError ? `: ${lastError}` : "";
  throw new Error(`Waited ${boundMs} ms in vain for ${options.what}${cause}`);
}
