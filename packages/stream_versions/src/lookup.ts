/**
 * Decides what the replies of several VMs show about a stream.
 *
 * @module
 */
import type { VersionTag } from "./stream_note.ts";

/** What is known of the version at which a stream began. */
export type LookupResult =
  | { readonly kind: "known"; readonly version: VersionTag }
  /** No VM that was asked has a note of it, or their notes differ. */
  | {
    readonly kind: "unknown";
    /** Whether some VMs did not reply, so that asking again may help. */
    readonly isPartial: boolean;
  };

/** Input of {@link decideLookup}. */
export interface DecideLookupOptions {
  /** Number of VMs that were asked. */
  readonly asked: number;
  /** Versions of the replies; undefined where the VM doesn't know one. */
  readonly replies: readonly (VersionTag | undefined)[];
  /** Whether no more replies are awaited. */
  readonly isOver: boolean;
}

/**
 * Decides a lookup from the replies so far.
 *
 * @returns Undefined while more replies are needed.
 * @example
 * ```ts
 * decideLookup({ asked: 2, replies: [undefined, "a1"], isOver: false });
 * // { kind: "known", version: "a1" }
 * ```
 */
export function decideLookup(
  { asked, replies, isOver }: DecideLookupOptions,
): LookupResult | undefined {
  const versions = new Set(replies.filter((version) => version !== undefined));
  const [version] = versions;
  if (versions.size > 1) return { kind: "unknown", isPartial: false };
  if (version !== undefined) return { kind: "known", version };
  const isPartial = replies.length < asked;
  return isOver || !isPartial ? { kind: "unknown", isPartial } : undefined;
}
