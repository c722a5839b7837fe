/**
 * Polls for a condition instead of sleeping a fixed time.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Options of {@link waitFor}. */
export interface WaitOptions {
  /** Describes the condition in the error message. */
  readonly description: string;
  /** Timeout; generous, because no result depends on it. */
  readonly timeoutMs?: number;
}

/**
 * Polls until a check returns a value other than `undefined` or `false`.
 *
 * @param check Called repeatedly; an exception counts as "not yet".
 * @param options Description of the condition, and timeout.
 * @returns The value that the check returned.
 * @throws {Error} When the timeout has passed.
 * @example
 * ```ts
 * await waitFor(() => readStatus(entry).configVersion === 2, { what: "version 2" });
 * ```
 */
export async function waitFor<T>(
  check: () => T | undefined | false | Promise<T | undefined | false>,
  options: WaitOptions,
): Promise<T> {
  const timeoutMs = options.timeoutMs ?? 15_000;
  const timeoutAt = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < timeoutAt) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  const cause = lastError ? `: ${lastError}` : "";
  throw new Error(
    `Timed out after ${timeoutMs} ms waiting for ${options.description}${cause}`,
  );
}
