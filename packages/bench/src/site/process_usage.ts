/**
 * What a process has used, as the kernel accounts for it.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** The kernel counts processor time in hundredths of a second for programs. */
const MS_PER_TICK = 10;
const BYTES_PER_KB = 1_024;
/** Fields of /proc/<pid>/stat behind the name, counted from its state. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Usage of one process since it was started. */
export interface ProcessUsage {
  /** User and system time, in milliseconds. */
  readonly cpuMs: number;
  /** Largest resident memory so far, in bytes. */
  readonly peakBytes: number;
  /** Resident memory now, in bytes. */
  readonly residentBytes: number;
}

/**
 * Reads the usage of a process.
 *
 * @param pid The process.
 * @returns Its usage since its start.
 * @example
 * ```ts
 * const { cpuMs, peakBytes } = readUsage(process.pid);
 * ```
 */
export function readUsage(pid: number | undefined): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name may hold spaces and brackets; fields begin behind the last one.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    cpuMs: ticks * MS_PER_TICK,
    peakBytes: parseKilobytes(status, "VmHWM"),
    residentBytes: parseKilobytes(status, "VmRSS"),
  };
}

function parseKilobytes(status: string, field: string): number {
  const found = new RegExp(`^${field}:\\s+(\\d+) kB`, "m").exec(status);
  return Number(found?.[1] ?? 0) * BYTES_PER_KB;
}
