/**
 * Faults of the simulation in `warmup_world.ts` and their schedule.
 *
 * @module
 */

/** Number of simulated VMs; VM `n` is in zone `n % WORLD_ZONES`. */
export const WORLD_VMS = 9;
/** Number of simulated failure domains. */
export const WORLD_ZONES = 3;

/** A fault; `vm`, `other`, `zone` and `endpoint` are indexes. */
export type WorldFault =
  | { readonly kind: VmFaultKind; readonly vm: number }
  /** Two VMs can't reach each other, but both reach all others. */
  | { readonly kind: "path_cut"; readonly vm: number; readonly other: number }
  /** All VMs of a zone stop and restart together. */
  | { readonly kind: "zone_gone"; readonly zone: number }
  | { readonly kind: "endpoint_restarted"; readonly endpoint: number };

/** Kinds of faults that affect one VM. */
export const VM_FAULT_KINDS = [
  /** Stops and is removed from the list; restarts with empty memory. */
  "vm_died",
  /** Stops while it stays listed. */
  "process_died",
  /** Listed as leaving while it runs; a new instance follows. */
  "vm_left",
  "frozen",
  "entry_frozen",
  "control_frozen",
  /** Reaches the VM list but no other VM. */
  "cut_off",
  /** Can't read the VM list. */
  "list_stalled",
] as const;
export type VmFaultKind = (typeof VM_FAULT_KINDS)[number];

/** A fault with its start and duration, in milliseconds of simulated time. */
export interface TimedFault {
  readonly fault: WorldFault;
  readonly atMs: number;
  readonly forMs: number;
}

/**
 * Tells which faults are active at a time.
 *
 * @example
 * ```ts
 * schedule.hasFault(3, 20_000, ["frozen", "entry_frozen"]);
 * ```
 */
export class FaultSchedule {
  readonly #faults: readonly TimedFault[];

  /** @param faults All faults of a simulation. */
  constructor(faults: readonly TimedFault[]) {
    this.#faults = faults;
  }

  /** Tells whether a VM has an active fault of one of the kinds. */
  hasFault(
    vm: number,
    now: number,
    kinds: readonly WorldFault["kind"][],
  ): boolean {
    return this.#getActive(now).some((fault) =>
      kinds.includes(fault.kind) && isAboutVm(fault, vm)
    );
  }

  /** Tells whether a VM's processes are stopped. */
  isDead(vm: number, now: number): boolean {
    return this.hasFault(vm, now, ["vm_died", "process_died", "zone_gone"]);
  }

  /** Tells whether a VM that left starts a new instance in this step. */
  isReplaced(vm: number, now: number, stepMs: number): boolean {
    const hasLeft = this.hasFault(vm, now - stepMs, ["vm_left"]);
    return hasLeft && !this.hasFault(vm, now, ["vm_left"]);
  }

  /** Tells whether two VMs can't reach each other. */
  isPathCut(vm: number, other: number, now: number): boolean {
    const isCutOff = (index: number) => this.hasFault(index, now, ["cut_off"]);
    if (isCutOff(vm) || isCutOff(other)) return true;
    return this.#getActive(now).some((fault) =>
      fault.kind === "path_cut" && isAboutVm(fault, vm) &&
      isAboutVm(fault, other)
    );
  }

  /** Returns a VM's state in the list; undefined when it is not listed. */
  getListed(vm: number, asOf: number): "live" | "leaving" | undefined {
    if (this.hasFault(vm, asOf, ["vm_died", "zone_gone"])) return undefined;
    return this.hasFault(vm, asOf, ["vm_left"]) ? "leaving" : "live";
  }

  /** Returns the indexes of the endpoints that restart in a step. */
  getRestarts(now: number, stepMs: number): number[] {
    return this.#faults
      .filter(({ atMs }) => now <= atMs && atMs < now + stepMs)
      .map(({ fault }) => fault)
      .filter((fault) => fault.kind === "endpoint_restarted")
      .map((fault) => fault.endpoint);
  }

  #getActive(now: number): WorldFault[] {
    return this.#faults
      .filter((timed) => timed.atMs <= now && now < timed.atMs + timed.forMs)
      .map((timed) => timed.fault);
  }
}

// A plain switch for speed: a property test runs it millions of times.
function isAboutVm(fault: WorldFault, vm: number): boolean {
  switch (fault.kind) {
    case "zone_gone":
      return fault.zone === vm % WORLD_ZONES;
    case "path_cut":
      return fault.vm === vm || fault.other === vm;
    case "endpoint_restarted":
      return false;
    default:
      return fault.vm === vm;
  }
}
