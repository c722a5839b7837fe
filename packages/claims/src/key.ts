/**
 * Keys of calls that may not be repeated: what their text says.
 *
 * @module
 */
import type { InstanceId } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import { validate, version } from "uuid";

/** Begins every minted key; the digit is the version of the format. */
export const MINTED_KEY_PREFIX = "msk1";

/** Longest text that is looked at; a minted key has about 90 characters. */
const MAX_KEY_LENGTH = 160;
const UUID_TIME_DIGITS = 12;
const SERIAL = /^[A-Za-z0-9_-]{1,64}$/;
const MILLISECONDS = /^(0|[1-9][0-9]{0,15})$/;

/** What the text of a key says. */
export type ParsedKey =
  /** Chosen by the caller; `time` is the key's own time since the epoch. */
  | { readonly kind: "uuidv7"; readonly time: number }
  /** Taken beforehand; only `instance` may ever run it. */
  | {
    readonly kind: "minted";
    readonly instance: InstanceId;
    readonly serial: string;
    /** By the minting instance's monotonic clock. */
    readonly mintedAtMs: number;
  };

/**
 * Parses the text of a key.
 *
 * Only the canonical spelling passes: the same key in two spellings would be
 * two keys to the log, and its call could run twice.
 *
 * @param text The key as the caller sent it.
 * @returns What it says, or why it is no key.
 * @example
 * ```ts
 * parseKey("018f0000-0000-7000-8000-000000000000");
 * ```
 */
export function parseKey(text: string): Result<ParsedKey, string> {
  if (text.length > MAX_KEY_LENGTH) return Err("the key is too long");
  if (text.startsWith(`${MINTED_KEY_PREFIX}.`)) return parseMintedKey(text);
  return parseUuidKey(text);
}

function parseUuidKey(text: string): Result<ParsedKey, string> {
  if (!validate(text) || version(text) !== 7) {
    return Err("expected a UUID of version 7 or a minted key");
  }
  if (text !== text.toLowerCase()) {
    return Err("expected a UUID in lower case");
  }
  const digits = text.replaceAll("-", "").slice(0, UUID_TIME_DIGITS);
  return Ok({ kind: "uuidv7", time: Number.parseInt(digits, 16) });
}

function parseMintedKey(text: string): Result<ParsedKey, string> {
  const parts = text.split(".");
  if (parts.length !== 4) return Err("expected a minted key of four parts");
  const [, instance, mintedAt, serial] = parts;
  if (!validate(instance) || instance !== instance.toLowerCase()) {
    return Err("expected an instance in the minted key");
  }
  if (!MILLISECONDS.test(mintedAt)) {
    return Err("expected milliseconds in the minted key");
  }
  if (!SERIAL.test(serial)) return Err("expected a serial in the minted key");
  const mintedAtMs = Number(mintedAt);
  return Ok({ kind: "minted", instance, serial, mintedAtMs });
}

/** What {@link formatMintedKey} writes. */
export type MintedKeyParts = Omit<
  Extract<ParsedKey, { kind: "minted" }>,
  "kind"
>;

/**
 * Writes a minted key in its canonical spelling.
 *
 * @param parts Instance, time of minting and serial.
 * @returns The key's text, which {@link parseKey} reads.
 * @example
 * ```ts
 * formatMintedKey({ instance, mintedAtMs: 12, serial: "1-abc" });
 * ```
 */
export function formatMintedKey(parts: MintedKeyParts): string {
  const { instance, mintedAtMs, serial } = parts;
  return [MINTED_KEY_PREFIX, instance, mintedAtMs, serial].join(".");
}
