/**
 * Crashes of endpoints and the requests that were lost with each, as far as this
 * VM has seen or heard of them.
 *
 * The load that this answers: a poison request comes again at any of many VMs, so
 * each sees one or two of its crashes. What VMs tell only grows (suspects, and
 * what speaks for them), so views of one crash merge in any order.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";
import type { Fingerprint } from "./fingerprint.ts";

/** A request that an endpoint had when it crashed. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Time from its arrival at the endpoint to the crash, in milliseconds. */
  readonly runMs: number;
  /** An equal request was answered by an endpoint of the service. */
  readonly isCleared: boolean;
}

/** One crash. */
export interface Crash {
  /** The incarnation of the endpoint; a restart is another one. */
  readonly id: string;
  readonly service: ServiceId;
  /** Steady time. */
  readonly at: number;
  /** The endpoint answered afterwards: only connections were cut. */
  readonly isVoid: boolean;
  readonly suspects: readonly Suspect[];
}

/** A {@link Crash} on its way to another VM. */
export interface CrashNews extends Omit<Crash, "at"> {
  readonly ageMs: number;
}

interface KnownCrash {
  readonly crash: Crash;
  readonly changedAt: number;
}

/** How long crashes are kept, in milliseconds. */
const KEEP_MS = 600_000;
const MAX_CRASHES = 256;
/** Suspects of one crash that are kept: those that came last. */
const MAX_SUSPECTS = 64;
/** How long a change is told to other VMs, in milliseconds: several exchanges. */
const SPREAD_MS = 2_000;
/**
 * Age from which a crash counts, in milliseconds: the VMs have told each other
 * who was there, and what was answered since.
 */
const SETTLE_MS = 1_000;
/**
 * Answers that prove that the endpoint lives, by their time since the loss, in
 * milliseconds. Earlier ones may have been under way; after later ones it may
 * have started again under its id.
 */
const ALIVE_FROM_MS = 50;
const ALIVE_TO_MS = 1_000;
/** A request that was answered so long before a crash is cleared, in ms. */
const COMPLETION_MS = 10_000;
const MAX_COMPLETIONS = 2_048;

/** Collects crashes. */
export class CrashLog {
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #completions = new Map<string, number>();
  /** Fingerprints of all suspects; undefined after a change. */
  #suspects: ReadonlySet<Fingerprint> | undefined;
  #version = 0;

  /** Changes with each change of the crashes. */
  get version(): number {
    return this.#version;
  }

  /** Notes a crash that this VM saw. */
  record(crash: Omit<Crash, "isVoid">, now: number): void {
    this.#merge({ ...crash, isVoid: false }, now);
  }

  /** Takes over what another VM tells. */
  merge(news: readonly CrashNews[], now: number): void {
    for (const { ageMs, ...crash } of news) {
      this.#merge({ ...crash, at: now - ageMs }, now);
    }
  }

  /** Notes that a request ended with an answer: it does not crash its endpoints. */
  recordCompletion(
    service: ServiceId,
    fingerprint: Fingerprint,
    now: number,
  ): void {
    const key = buildKey(service, fingerprint);
    this.#completions.delete(key);
    this.#completions.set(key, now);
    if (this.#completions.size > MAX_COMPLETIONS) {
      this.#completions.delete(this.#completions.keys().next().value!);
    }
    if (!this.isSuspect(fingerprint)) return;
    for (const { crash } of [...this.#crashes.values()]) {
      if (crash.service !== service) continue;
      this.#change({
        ...crash,
        suspects: crash.suspects.map((one) =>
          one.fingerprint === fingerprint ? { ...one, isCleared: true } : one
        ),
      }, now);
    }
  }

  /** Notes that an endpoint answered, so that it has not crashed lately. */
  recordAnswer(id: string, now: number): void {
    const known = this.#crashes.get(id);
    if (known === undefined) return;
    const sinceMs = now - known.crash.at;
    if (sinceMs < ALIVE_FROM_MS || sinceMs > ALIVE_TO_MS) return;
    this.#change({ ...known.crash, isVoid: true }, now);
  }

  /** Whether a request was at an endpoint that crashed, and nothing clears it. */
  isSuspect(fingerprint: Fingerprint): boolean {
    this.#suspects ??= new Set(
      [...this.#crashes.values()]
        .flatMap(({ crash }) => getOpenSuspects(crash))
        .map((one) => one.fingerprint),
    );
    return this.#suspects.has(fingerprint);
  }

  /** Crashes of which the other VMs have told what they know. */
  getSettled(now: number): Crash[] {
    this.#dropOld(now);
    return [...this.#crashes.values()]
      .map(({ crash }) => crash)
      .filter(({ at }) => now - at >= SETTLE_MS);
  }

  /** What the other VMs should hear; undefined where there is nothing new. */
  getNews(now: number): CrashNews[] | undefined {
    const changed = [...this.#crashes.values()]
      .filter(({ changedAt }) => now - changedAt < SPREAD_MS)
      .map(({ crash: { at, ...rest } }) => ({
        ...rest,
        ageMs: Math.round(now - at),
      }));
    return changed.length === 0 ? undefined : changed;
  }

  #merge(told: Crash, now: number): void {
    const { crash: known } = this.#crashes.get(told.id) ?? { crash: told };
    const suspects = mergeSuspects(known.suspects, told.suspects)
      .map((one) => ({
        ...one,
        isCleared: one.isCleared || this.#hasCompleted(told, one),
      }));
    this.#change({
      ...known,
      at: Math.min(known.at, told.at),
      isVoid: known.isVoid || told.isVoid,
      suspects,
    }, now);
  }

  #hasCompleted({ service, at }: Crash, { fingerprint }: Suspect): boolean {
    const completedAt = this.#completions.get(buildKey(service, fingerprint));
    return completedAt !== undefined && completedAt > at - COMPLETION_MS;
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

/** Suspects that nothing speaks for. */
export function getOpenSuspects(crash: Crash): readonly Suspect[] {
  if (crash.isVoid) return [];
  return crash.suspects.filter((one) => !one.isCleared);
}

function mergeSuspects(
  known: readonly Suspect[],
  told: readonly Suspect[],
): Suspect[] {
  const merged = new Map<Fingerprint, Suspect>();
  for (const one of [...known, ...told]) {
    const before = merged.get(one.fingerprint) ?? one;
    merged.set(one.fingerprint, {
      fingerprint: one.fingerprint,
      runMs: Math.min(before.runMs, one.runMs),
      isCleared: before.isCleared || one.isCleared,
    });
  }
  return [...merged.values()]
    .sort((a, b) => a.runMs - b.runMs)
    .slice(0, MAX_SUSPECTS);
}

function isSameEvidence(a: Crash, b: Crash): boolean {
  const countCleared = ({ suspects }: Crash) =>
    suspects.filter((one) => one.isCleared).length;
  return a.isVoid === b.isVoid && a.suspects.length === b.suspects.length &&
    countCleared(a) === countCleared(b);
}

function buildKey(service: ServiceId, fingerprint: Fingerprint): string {
  return `${service}\0${fingerprint}`;
}
