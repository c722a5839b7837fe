/**
 * Crashes of endpoints and the requests that each lost, as seen by this VM or
 * received from others.
 *
 * A poison request is repeated at any of many VMs, so each VM sees only one or two of
 * its crashes. The evidence on a crash only grows (suspects, and which of them are
 * cleared), so views of it merge in any order.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";
import type { Fingerprint } from "./fingerprint.ts";
import type { PartKey } from "./part_key.ts";

/** A request that was running at an endpoint when it crashed. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Time from its arrival at the endpoint to the crash, in milliseconds. */
  readonly runMs: number;
  /** Whether an endpoint of the service answered an equal request. */
  readonly isCleared: boolean;
  /** Parts of its prompt that other requests may share, in their order. */
  readonly parts?: readonly PartKey[];
}

/** A crash of an endpoint. */
export interface Crash {
  /** Identifies the incarnation of the endpoint, which changes on restart. */
  readonly id: string;
  readonly service: ServiceId;
  /** Monotonic time of the crash. */
  readonly at: number;
  /** Whether the endpoint answered afterwards, so only connections were cut. */
  readonly isVoid: boolean;
  readonly suspects: readonly Suspect[];
  /** Software version of the endpoint, if it is known. */
  readonly version?: string;
  /** Parts on which an endpoint of that version wrote a whole answer. */
  readonly clearedParts?: readonly PartKey[];
}

/** A request that an endpoint completed. */
export interface Completion {
  readonly service: ServiceId;
  readonly version?: string;
  readonly fingerprint: Fingerprint;
  readonly parts?: readonly PartKey[];
}

/** A {@link Crash} as sent to another VM, with its age in place of its time. */
export interface CrashUpdate extends Omit<Crash, "at"> {
  readonly ageMs: number;
}

interface KnownCrash {
  readonly crash: Crash;
  readonly changedAt: number;
}

/** How long crashes are kept. */
const KEEP_MS = 600_000;
const MAX_CRASHES = 256;
/** Number of suspects kept for each crash: those that arrived last. */
const MAX_SUSPECTS = 64;
/** How long a change is sent to other VMs: several gossip exchanges. */
const GOSSIP_CHANGE_MS = 2_000;
/**
 * Age from which a crash counts: the VMs have exchanged its suspects and the requests
 * answered since.
 */
const SETTLE_MS = 1_000;
/**
 * Range of the time since a crash in which an answer proves that the endpoint didn't
 * crash. An earlier answer may have been in transit; before a later one, the endpoint
 * may have restarted under its id.
 */
const MIN_ALIVE_MS = 50;
const MAX_ALIVE_MS = 1_000;
/** An answer up to this long before a crash clears the request. */
const COMPLETION_WINDOW_MS = 10_000;
/** The same for a part of its prompt. */
const PART_COMPLETION_WINDOW_MS = 60_000;
const MAX_COMPLETIONS = 2_048;

/** Collects the crashes of this VM and of others, and what clears suspects. */
export class CrashLog {
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #completions = new Map<string, number>();
  readonly #partCompletions = new Map<string, number>();
  /** Monotonic times of the last completions of services. */
  readonly #answeredAt = new Map<ServiceId, number>();
  /** Cached fingerprints of open suspects; undefined after a change. */
  #suspects: ReadonlySet<Fingerprint> | undefined;
  /** Cached parts that are not cleared in all crashes; undefined after a change. */
  #openParts: ReadonlySet<PartKey> | undefined;
  #version = 0;

  /** Incremented with each change of the crashes. */
  get version(): number {
    return this.#version;
  }

  /** Records a crash that this VM saw. */
  record(crash: Omit<Crash, "isVoid">, now: number): void {
    this.#merge({ ...crash, isVoid: false }, now);
  }

  /** Merges crashes that another VM sent. */
  merge(updates: readonly CrashUpdate[], now: number): void {
    for (const { ageMs, ...crash } of updates) {
      this.#merge({ ...crash, at: now - ageMs }, now);
    }
  }

  /**
   * Clears a request and the parts of its prompt of suspicion, since an endpoint of the
   * service wrote a whole answer.
   */
  recordCompletion(completion: Completion, now: number): void {
    const { service, fingerprint, version, parts = [] } = completion;
    this.#answeredAt.set(service, now);
    setLatest(this.#completions, buildKey(service, fingerprint), now);
    for (const part of parts) {
      setLatest(
        this.#partCompletions,
        buildPartKey(service, version, part),
        now,
      );
    }
    this.#clearRequest(service, fingerprint, now);
    this.#clearParts(completion, now);
  }

  /** Whether an endpoint of a service completed a request lately. */
  isAnswering({ service }: Pick<Crash, "service">, now: number): boolean {
    const answeredAt = this.#answeredAt.get(service) ?? -Infinity;
    return now - answeredAt < PART_COMPLETION_WINDOW_MS;
  }

  /** Voids a recent crash of an endpoint, since the endpoint has answered. */
  recordAnswer(id: string, now: number): void {
    const known = this.#crashes.get(id);
    if (known === undefined) return;
    const sinceMs = now - known.crash.at;
    if (sinceMs < MIN_ALIVE_MS || sinceMs > MAX_ALIVE_MS) return;
    this.#change({ ...known.crash, isVoid: true }, now);
  }

  /** Whether a request is an open suspect of any crash. */
  isSuspect(fingerprint: Fingerprint): boolean {
    this.#suspects ??= new Set(
      [...this.#crashes.values()]
        .flatMap(({ crash }) => getOpenSuspects(crash))
        .map((suspect) => suspect.fingerprint),
    );
    return this.#suspects.has(fingerprint);
  }

  /** Returns all crashes. */
  getAll(): Crash[] {
    return [...this.#crashes.values()].map(({ crash }) => crash);
  }

  /** Returns crashes old enough for the other VMs to have sent their evidence. */
  getSettled(now: number): Crash[] {
    this.#dropOld(now);
    return this.getAll().filter(({ at }) => now - at >= SETTLE_MS);
  }

  /** Returns the recent changes to send to other VMs; undefined if none. */
  getUpdates(now: number): CrashUpdate[] | undefined {
    const changed = [...this.#crashes.values()]
      .filter(({ changedAt }) => now - changedAt < GOSSIP_CHANGE_MS)
      .map(({ crash: { at, ...rest } }) => ({
        ...rest,
        ageMs: Math.round(now - at),
      }));
    return changed.length === 0 ? undefined : changed;
  }

  #clearRequest(
    service: ServiceId,
    fingerprint: Fingerprint,
    now: number,
  ): void {
    if (!this.isSuspect(fingerprint)) return;
    for (const { crash } of [...this.#crashes.values()]) {
      if (crash.service !== service) continue;
      this.#change({
        ...crash,
        suspects: crash.suspects.map((suspect) =>
          suspect.fingerprint === fingerprint
            ? { ...suspect, isCleared: true }
            : suspect
        ),
      }, now);
    }
  }

  #clearParts({ service, version, parts = [] }: Completion, now: number): void {
    this.#openParts ??= new Set(this.getAll().flatMap(getOpenParts));
    if (!parts.some((part) => this.#openParts!.has(part))) return;
    for (const { crash } of [...this.#crashes.values()]) {
      if (crash.service !== service || crash.version !== version) continue;
      this.#change(addClearedParts(crash, parts), now);
    }
  }

  #merge(received: Crash, now: number): void {
    const { crash: known } = this.#crashes.get(received.id) ??
      { crash: received };
    const suspects = mergeSuspects(known.suspects, received.suspects)
      .map((suspect) => ({
        ...suspect,
        isCleared: suspect.isCleared || this.#hasCompleted(received, suspect),
      }));
    const merged = addClearedParts({
      ...known,
      at: Math.min(known.at, received.at),
      isVoid: known.isVoid || received.isVoid,
      suspects,
    }, received.clearedParts ?? []);
    const completed = suspects.flatMap(({ parts = [] }) => parts)
      .filter((part) => this.#hasPartCompleted(merged, part));
    this.#change(addClearedParts(merged, completed), now);
  }

  #hasPartCompleted({ service, version, at }: Crash, part: PartKey): boolean {
    const key = buildPartKey(service, version, part);
    const completedAt = this.#partCompletions.get(key) ?? -Infinity;
    return completedAt > at - PART_COMPLETION_WINDOW_MS;
  }

  #hasCompleted({ service, at }: Crash, { fingerprint }: Suspect): boolean {
    const completedAt = this.#completions.get(buildKey(service, fingerprint));
    return completedAt !== undefined && completedAt > at - COMPLETION_WINDOW_MS;
  }

  #change(crash: Crash, now: number): void {
    const before = this.#crashes.get(crash.id);
    if (before !== undefined && isSameEvidence(before.crash, crash)) return;
    this.#crashes.set(crash.id, { crash, changedAt: now });
    if (this.#crashes.size > MAX_CRASHES) {
      this.#crashes.delete(this.#crashes.keys().next().value!);
    }
    this.#handleChanged();
  }

  #handleChanged(): void {
    this.#suspects = undefined;
    this.#openParts = undefined;
    this.#version += 1;
  }

  #dropOld(now: number): void {
    for (const [id, { crash }] of this.#crashes) {
      if (now - crash.at < KEEP_MS) continue;
      this.#crashes.delete(id);
      this.#handleChanged();
    }
  }
}

/** Returns the suspects that aren't cleared; none of a voided crash. */
export function getOpenSuspects(crash: Crash): readonly Suspect[] {
  if (crash.isVoid) return [];
  return crash.suspects.filter((suspect) => !suspect.isCleared);
}

function mergeSuspects(
  known: readonly Suspect[],
  received: readonly Suspect[],
): Suspect[] {
  const merged = new Map<Fingerprint, Suspect>();
  for (const suspect of [...known, ...received]) {
    const before = merged.get(suspect.fingerprint) ?? suspect;
    merged.set(suspect.fingerprint, {
      fingerprint: suspect.fingerprint,
      runMs: Math.min(before.runMs, suspect.runMs),
      isCleared: before.isCleared || suspect.isCleared,
      parts: before.parts ?? suspect.parts,
    });
  }
  return [...merged.values()]
    .sort((a, b) => a.runMs - b.runMs)
    .slice(0, MAX_SUSPECTS);
}

function isSameEvidence(a: Crash, b: Crash): boolean {
  const countCleared = ({ suspects }: Crash) =>
    suspects.filter((suspect) => suspect.isCleared).length;
  const countClearedParts = ({ clearedParts = [] }: Crash) =>
    clearedParts.length;
  return a.isVoid === b.isVoid && a.suspects.length === b.suspects.length &&
    countCleared(a) === countCleared(b) &&
    countClearedParts(a) === countClearedParts(b);
}

/** Returns the parts of a crash's suspects that aren't cleared. */
function getOpenParts({ suspects, clearedParts = [] }: Crash): PartKey[] {
  return suspects.flatMap(({ parts = [] }) => parts)
    .filter((part) => !clearedParts.includes(part));
}

/** Adds those of some parts that suspects of a crash have. */
function addClearedParts(crash: Crash, parts: readonly PartKey[]): Crash {
  const own = new Set(crash.suspects.flatMap((suspect) => suspect.parts ?? []));
  const added = parts.filter((part) => own.has(part));
  const clearedParts = [...new Set([...crash.clearedParts ?? [], ...added])];
  return added.length === 0 ? crash : { ...crash, clearedParts };
}

/** Sets the entry of a map that keeps the latest ones. */
function setLatest(map: Map<string, number>, key: string, now: number): void {
  map.delete(key);
  map.set(key, now);
  if (map.size > MAX_COMPLETIONS) map.delete(map.keys().next().value!);
}

function buildPartKey(
  service: ServiceId,
  version: string | undefined,
  part: PartKey,
): string {
  return `${service}\0${version ?? ""}\0${part}`;
}

function buildKey(service: ServiceId, fingerprint: Fingerprint): string {
  return `${service}\0${fingerprint}`;
}
