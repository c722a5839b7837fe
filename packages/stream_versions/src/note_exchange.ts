/**
 * Exchanges stream notes with other VMs.
 *
 * @module
 */
import * as endpointPaths from "@sardinestep/endpoint_paths";
import * as rpc from "@sardinestep/rpc";
import type { Address, VmId } from "@sardinestep/types";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { match } from "ts-pattern";
import {
  type Datagram,
  formatDatagram,
  MAX_NOTES_PER_DATAGRAM,
  parseDatagram,
} from "./datagram.ts";
import {
  type Holder,
  HolderRing,
  planAsked,
  planCopies,
} from "./holder_ring.ts";
import { decideLookup, type LookupResult } from "./lookup.ts";
import { NoteTable } from "./note_table.ts";
import type { StreamKey, StreamNote, VersionTag } from "./stream_note.ts";

/** Options of {@link NoteExchange}. */
export interface NoteExchangeOptions {
  readonly vmId: VmId;
  /** All known VMs, this one included; the same list until they change. */
  readonly getHolders: () => readonly Holder[];
  /** Called when a datagram can't be sent or read. */
  readonly handleError: (message: string) => void;
}

/** Time after which VMs that have not replied are asked once more, in ms. */
const ASK_AGAIN_MS = 40;
/** Time after which no more replies are awaited, in milliseconds. */
const ASK_TIMEOUT_MS = 200;
const MAX_QUESTION_ID = 2 ** 32;

interface Question {
  readonly key: StreamKey;
  /** VMs that have not replied, by address. */
  readonly waiting: Set<Address>;
  readonly asked: number;
  readonly replies: (VersionTag | undefined)[];
  readonly resolve: (result: LookupResult) => void;
  readonly repeat: NodeJS.Timeout;
  readonly timeout: endpointPaths.IoTimeout;
}

/** Keeps notes of this VM and others, and asks others for theirs. */
export class NoteExchange {
  readonly #options: NoteExchangeOptions;
  readonly #table = new NoteTable();
  readonly #questions = new Map<number, Question>();
  #ring = new HolderRing([]);
  #ringHolders: readonly Holder[] = [];
  #socket: Socket | undefined;
  #lastQuestionId = Math.floor(Math.random() * MAX_QUESTION_ID);

  /** @param options This VM and the others. */
  constructor(options: NoteExchangeOptions) {
    this.#options = options;
  }

  /** Number of notes that this VM keeps. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Opens the socket.
   *
   * @throws {Error} When the address is already in use.
   */
  async start(address: Address): Promise<void> {
    const socket = createSocket("udp4");
    const { host, port } = rpc.parseAddress(address);
    socket.bind(port, host);
    await once(socket, "listening");
    socket.on("error", ({ message }) => this.#options.handleError(message));
    socket.on(
      "message",
      (bytes, { address: from, port: fromPort }) =>
        this.#handleMessage(bytes, `${from}:${fromPort}`),
    );
    this.#socket = socket;
  }

  /** Keeps notes, here and at the VMs that are computed from their keys. */
  record(notes: readonly StreamNote[]): void {
    this.#table.record(notes, performance.now());
    this.#sendNotes(notes);
  }

  /** Finds the version at which a stream began. */
  async find(key: StreamKey): Promise<LookupResult> {
    const version = this.#table.find(key, performance.now());
    if (version !== undefined) return { kind: "known", version };
    const count = planAsked(this.#options.getHolders().length);
    const asked = this.#pickOthers(key, count);
    if (asked.length === 0) return { kind: "unknown", isPartial: false };
    return await this.#ask(key, asked);
  }

  /** Hands all notes over to VMs that stay. */
  sendAllNotes(): void {
    this.#sendNotes(this.#table.getAll(performance.now()));
  }

  /** Closes the socket; open questions remain unanswered. */
  close(): void {
    for (const id of [...this.#questions.keys()]) this.#endQuestion(id);
    this.#socket?.close();
    this.#socket = undefined;
  }

  #sendNotes(notes: readonly StreamNote[]): void {
    const byAddress = new Map<Address, StreamNote[]>();
    for (const note of notes) {
      const copies = planCopies(this.#options.getHolders().length);
      for (const { rpc: address } of this.#pickOthers(note.key, copies)) {
        const batch = byAddress.get(address) ?? [];
        batch.push(note);
        byAddress.set(address, batch);
      }
    }
    for (const [address, all] of byAddress) {
      for (let i = 0; i < all.length; i += MAX_NOTES_PER_DATAGRAM) {
        const batch = all.slice(i, i + MAX_NOTES_PER_DATAGRAM);
        this.#send(address, { kind: "notes", notes: batch });
      }
    }
  }

  #ask(key: StreamKey, asked: readonly Holder[]): Promise<LookupResult> {
    this.#lastQuestionId = (this.#lastQuestionId + 1) % MAX_QUESTION_ID;
    const id = this.#lastQuestionId;
    return new Promise((resolve) => {
      const question: Question = {
        key,
        waiting: new Set(asked.map((holder) => holder.rpc)),
        asked: asked.length,
        replies: [],
        resolve,
        repeat: setTimeout(() => this.#sendQuestion(id), ASK_AGAIN_MS),
        timeout: new endpointPaths.IoTimeout(
          () => this.#endQuestion(id),
          ASK_TIMEOUT_MS,
        ),
      };
      this.#questions.set(id, question);
      this.#sendQuestion(id);
    });
  }

  #sendQuestion(id: number): void {
    const { key, waiting } = this.#questions.get(id)!;
    for (const address of waiting) {
      this.#send(address, { kind: "question", id, key });
    }
  }

  #handleMessage(bytes: Buffer, from: Address): void {
    const parsed = parseDatagram(bytes);
    if (parsed.isErr()) return this.#options.handleError(parsed.error);
    const now = performance.now();
    match(parsed.value)
      .with({ kind: "notes" }, ({ notes }) => this.#table.record(notes, now))
      .with({ kind: "question" }, ({ id, key }) => {
        const version = this.#table.find(key, now);
        this.#send(from, { kind: "reply", id, version });
      })
      .with(
        { kind: "reply" },
        ({ id, version }) => this.#handleReply(id, version, from),
      )
      .exhaustive();
  }

  #handleReply(
    id: number,
    version: VersionTag | undefined,
    from: Address,
  ): void {
    const question = this.#questions.get(id);
    if (question === undefined || !question.waiting.delete(from)) return;
    question.replies.push(version);
    const { asked, replies } = question;
    const result = decideLookup({ asked, replies, isOver: false });
    if (result !== undefined) this.#endQuestion(id, result);
  }

  #endQuestion(id: number, result?: LookupResult): void {
    const question = this.#questions.get(id)!;
    this.#questions.delete(id);
    clearTimeout(question.repeat);
    question.timeout.cancel();
    const { asked, replies, resolve } = question;
    resolve(result ?? decideLookup({ asked, replies, isOver: true })!);
  }

  #pickOthers(key: StreamKey, count: number): Holder[] {
    return this.#getRing().pick(key, count + 1)
      .filter(({ vmId }) => vmId !== this.#options.vmId)
      .slice(0, count);
  }

  #getRing(): HolderRing {
    const holders = this.#options.getHolders();
    if (holders !== this.#ringHolders) {
      this.#ringHolders = holders;
      this.#ring = new HolderRing(holders);
    }
    return this.#ring;
  }

  #send(address: Address, datagram: Datagram): void {
    if (!rpc.isAddress(address)) {
      const message = `Cannot send to "${address}": expected IP:port`;
      return this.#options.handleError(message);
    }
    const { host, port } = rpc.parseAddress(address);
    this.#socket?.send(formatDatagram(datagram), port, host, (error) => {
      if (error !== null) this.#options.handleError(error.message);
    });
  }
}
