/**
 * What callers may hold of a process.
 *
 * @module
 */

/** Resources of a VM. */
export interface VmLimits {
  /** Memory of the process, in MB. */
  readonly memoryMb: number;
  /** Descriptors of the process, files included. */
  readonly descriptors: number;
}

/** What all callers may hold together. */
export interface CallerCapacity {
  readonly maxConnections: number;
  /** Most bytes of heads that are incomplete. */
  readonly maxHeadBytes: number;
  /** Most bytes of bodies and answers that are held, in bytes. */
  readonly maxBufferedBytes: number;
}

/** Resources of a VM whose settings name none. */
export const DEFAULT_VM_LIMITS: VmLimits = {
  memoryMb: 250,
  descriptors: 4_096,
};

const BYTES_PER_MB = 1_048_576;
/** Descriptors that are kept for files, at most half of all. */
const FILE_DESCRIPTORS = 200;
const MAX_FILE_SHARE = 0.5;
/** A request that runs takes a descriptor for its worker beside that of its caller. */
const CONNECTION_SHARE = 0.5;
/** The runtime, sockets and heads take most of the memory. */
const BUFFER_SHARE = 0.2;
const MAX_BUFFERED_MB = 48;
const MIN_BUFFERED_MB = 16;
/** The runtime with some hundred sockets, and 64 MB of reads that V8 has not freed. */
const RUNTIME_MB = 136;
/** The parser makes strings of a head, which take many times its bytes. */
const HEAD_SHARE = 1 / 80;

/**
 * Plans what callers may hold.
 *
 * @param limits Memory in MB and descriptors of the VM.
 * @returns Connections, and bytes of heads, of bodies and of answers.
 *
 * @example
 * ```ts
 * planCallerCapacity({ memoryMb: 160, descriptors: 4_100 });
 * // { maxConnections: 1_950, maxHeadBytes: 2_097_152, maxBufferedBytes: 25_165_824 }
 * ```
 */
export function planCallerCapacity(
  { memoryMb, descriptors }: VmLimits,
): CallerCapacity {
  const files = Math.min(FILE_DESCRIPTORS, descriptors * MAX_FILE_SHARE);
  const bufferedMb = Math.min(
    MAX_BUFFERED_MB,
    memoryMb * BUFFER_SHARE,
    Math.max(MIN_BUFFERED_MB, memoryMb - RUNTIME_MB),
  );
  return {
    maxConnections: Math.floor((descriptors - files) * CONNECTION_SHARE),
    maxHeadBytes: Math.floor(memoryMb * HEAD_SHARE * BYTES_PER_MB),
    maxBufferedBytes: Math.floor(bufferedMb * BYTES_PER_MB),
  };
}
