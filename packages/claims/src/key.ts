/**
 * Parsing and formatting of the keys of non-repeatable calls.
 *
 * @module
 */
import type { InstanceId } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import { validate, version } from "uuid";

/** Prefix of every minted key; the digit is the format version. */
export const MINTED_KEY_PREFIX = "msk1";

/** Longer keys are refused unparsed; a minted key has about 90 characters. */
const MAX_KEY_LENGTH = 160;
const UUID_TIME_HEX_DIGITS = 12;
const SERIAL = /^[A-Za-z0-9_-]{1,64}$/;
const MILLISECONDS = /^(0|[1-9][0-9]{0,15})$/;

/** Contents of a key. */
export type ParsedKey =
  /** Chosen by the caller; `time` is its embedded time in ms since the epoch. */
  | { readonly kind: "uuidv7"; readonly time: number }
  /** Issued in advance by `instance`, the only one that may ever run it. */
  | {
    readonly kind: "minted";
    readonly instance: InstanceId;
    readonly serial: string;
    /** Time by the minting instance's monotonic clock. */
    readonly mintedAtMs: number;
  };

/**
 * Parses the text of a key.
 *
 * Only the canonical form is accepted: the log would treat two spellings of one
 * key as two keys, and the call could run twice.
 *
 * @param text The key as the caller sent it.
 * @returns The key's contents, or an error message for the caller.
 * @example
 * ```ts
 * parseKey("018f0000-0000-7000-8000-000000000000");
 * ```
 */
export function parseKey(text: string): Result<ParsedKey, string> {
  if (text.length > MAX_KEY_LENGTH) return Err("Key exceeds 160 characters");
  if (text.startsWith(`${MINTED_KEY_PREFIX}.`)) return parseMintedKey(text);
  return parseUuidKey(text);
}

function parseUuidKey(text: string): Result<ParsedKey, string> {
  if (!validate(text) || version(text) !== 7) {
    return Err("Invalid key: expected a UUID of version 7 or a minted key");
  }
  if (text !== text.toLowerCase()) {
    return Err("Invalid key: expected a UUID in lower case");
  }
  const digits = text.replaceAll("-", "").slice(0, UUID_TIME_HEX_DIGITS);
  return Ok({ kind: "uuidv7", time: Number.parseInt(digits, 16) });
}

function parseMintedKey(text: string): Result<ParsedKey, string> {
  const parts = text.split(".");
  if (parts.length !== 4) return Err("Invalid minted key: expected four parts");
  const [, instance, mintedAt, serial] = parts;
  if (!validate(instance) || instance !== instance.toLowerCase()) {
    return Err(
      "Invalid minted key: expected a lower-case UUID of an instance",
    );
  }
  if (!MILLISECONDS.test(mintedAt)) {
    return Err(
      "Invalid minted key: expected the time of minting in milliseconds",
    );
  }
  if (!SERIAL.test(serial)) return Err("Invalid minted key: expected a serial");
  const mintedAtMs = Number(mintedAt);
  return Ok({ kind: "minted", instance, serial, mintedAtMs });
}

/** The parts that {@link formatMintedKey} joins. */
export type MintedKeyParts = Omit<
  Extract<ParsedKey, { kind: "minted" }>,
  "kind"
>;

/**
 * Formats a minted key in its canonical form.
 *
 * @param parts Instance, time of minting and serial.
 * @returns The key's text, which {@link parseKey} parses.
 * @example
 * ```ts
 * formatMintedKey({ instance, mintedAtMs: 12, serial: "1-abc" });
 * ```
 */
export function formatMintedKey(parts: MintedKeyParts): string {
  const { instance, mintedAtMs, serial } = parts;
  return [MINTED_KEY_PREFIX, instance, mintedAtMs, serial].join(".");
}
