/**
 * What this process has used of the processor.
 *
 * @module
 */
const MICROSECONDS_PER_MS = 1_000;

/** Processor time of this process so far, in milliseconds. */
export function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return Math.round((user + system) / MICROSECONDS_PER_MS);
}
