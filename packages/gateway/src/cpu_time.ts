/**
 * CPU time of this process.
 *
 * @module
 */
const MICROSECONDS_PER_MS = 1_000;

/** Reads the CPU time that this process has used so far, in milliseconds. */
export function readCpuTimeMs(): number {
  const { user, system } = process.cpuUsage();
  return Math.round((user + system) / MICROSECONDS_PER_MS);
}
