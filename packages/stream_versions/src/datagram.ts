/**
 * Datagrams between VMs: notes, questions and replies. UDP needs no connection for
 * each pair of VMs; copies and a second question make up for lost datagrams.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { match } from "ts-pattern";
import {
  KEY_BYTES,
  type StreamKey,
  type StreamNote,
  TAG_BYTES,
  type VersionTag,
} from "./stream_note.ts";

/** A message of one datagram. */
export type Datagram =
  | { readonly kind: "notes"; readonly notes: readonly StreamNote[] }
  | {
    readonly kind: "question";
    readonly id: number;
    readonly key: StreamKey;
  }
  | {
    readonly kind: "reply";
    readonly id: number;
    /** Undefined if the VM doesn't know it. */
    readonly version?: VersionTag;
  };

/** Most notes of one datagram, which stays below the size of a packet. */
export const MAX_NOTES_PER_DATAGRAM = 48;

const KIND_BYTE = { notes: 1, question: 2, reply: 3 } as const;
const ID_BYTES = 4;
const NOTE_BYTES = KEY_BYTES + TAG_BYTES;

/** Formats a datagram. */
export function formatDatagram(datagram: Datagram): Buffer {
  return match(datagram)
    .with({ kind: "notes" }, ({ notes }) =>
      Buffer.concat([
        Buffer.of(KIND_BYTE.notes),
        ...notes.map(({ key, version }) => Buffer.from(key + version, "hex")),
      ]))
    .with({ kind: "question" }, ({ id, key }) =>
      Buffer.concat([
        Buffer.of(KIND_BYTE.question),
        formatId(id),
        Buffer.from(key, "hex"),
      ]))
    .with({ kind: "reply" }, ({ id, version = "" }) =>
      Buffer.concat([
        Buffer.of(KIND_BYTE.reply),
        formatId(id),
        Buffer.from(version, "hex"),
      ]))
    .exhaustive();
}

/**
 * Parses a datagram.
 *
 * @returns The message, or what is wrong with the bytes.
 */
export function parseDatagram(bytes: Buffer): Result<Datagram, string> {
  const [kind] = bytes;
  const rest = bytes.subarray(1);
  if (kind === KIND_BYTE.notes) return parseNotes(rest);
  const body = rest.subarray(ID_BYTES);
  if (kind === KIND_BYTE.question && body.length === KEY_BYTES) {
    return Ok({
      kind: "question",
      id: rest.readUInt32BE(),
      key: body.toString("hex"),
    });
  }
  const isReply = kind === KIND_BYTE.reply && rest.length >= ID_BYTES &&
    (body.length === 0 || body.length === TAG_BYTES);
  if (isReply) {
    const version = body.length === 0 ? undefined : body.toString("hex");
    return Ok({ kind: "reply", id: rest.readUInt32BE(), version });
  }
  return Err(`Cannot parse a datagram of kind ${kind}, ${bytes.length} bytes`);
}

function parseNotes(bytes: Buffer): Result<Datagram, string> {
  if (bytes.length === 0 || bytes.length % NOTE_BYTES !== 0) {
    return Err(`Cannot parse notes of ${bytes.length} bytes`);
  }
  const notes: StreamNote[] = [];
  for (let at = 0; at < bytes.length; at += NOTE_BYTES) {
    const row = bytes.subarray(at, at + NOTE_BYTES).toString("hex");
    notes.push({
      key: row.slice(0, 2 * KEY_BYTES),
      version: row.slice(2 * KEY_BYTES),
    });
  }
  return Ok({ kind: "notes", notes });
}

function formatId(id: number): Buffer {
  const bytes = Buffer.alloc(ID_BYTES);
  bytes.writeUInt32BE(id);
  return bytes;
}
