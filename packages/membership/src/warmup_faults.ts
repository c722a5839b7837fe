/**
 * Faults of the simulation in `warmup_world.ts`, and when they are in force.
 *
 * @module
 */

/** VMs of the simulation; zone `z` has the VMs whose number leaves rest `z`. */
export const WORLD_VMS = 9;
/** Failure domains of the simulation. */
export const WORLD_ZONES = 3;

/** What may go wrong; `vm`, `other`, `zone` and `endpoint` are numbers. */
export type WorldFault =
  | { readonly kind: VmFaultKind; readonly vm: number }
  /** Two VMs can't reach each other; each reaches all others. */
  | { readonly kind: "path_cut"; readonly vm: number; readonly other: number }
  /** All VMs of a zone die and come back together. */
  | { readonly kind: "zone_gone"; readonly zone: number }
  | { readonly kind: "endpoint_restarted"; readonly endpoint: number };

/** Faults of one VM. */
export const VM_FAULT_KINDS = [
  /** Dies and is taken off the list; comes back with empty memory. */
  "vm_died",
  /** Dies while the list goes on naming it. */
  "process_died",
  /** Listed as leaving while it runs; a new run follows. */
  "vm_left",
  "frozen",
  "entry_frozen",
  "control_frozen",
  /** Reaches the list but no other VM. */
  "cut_off",
  /** Can't read the list. */
  "list_stalled",
] as const;
export type VmFaultKind = (typeof VM_FAULT_KINDS)[number];

/** A fault with its time, in milliseconds since the start of the simulation. */
export interface TimedFault {
  readonly fault: WorldFault;
  readonly atMs: number;
  readonly forMs: number;
}

/**
 * Tells which faults are in force.
 *
 * @example
 * ```ts
 * schedule.hasFault(3, 20_000, ["frozen", "entry_frozen"]);
 * ```
 */
export class FaultSchedule {
  readonly #faults: readonly TimedFault[];

  /** @param faults All faults of a run. */
  constructor(faults: readonly TimedFault[]) {
    this.#faults = faults;
  }

  /** Tells whether a VM suffers one of some kinds of faults. */
  hasFault(
    vm: number,
    now: number,
    kinds: readonly WorldFault["kind"][],
  ): boolean {
    return this.#getActive(now).some((fault) =>
      kinds.includes(fault.kind) && isAboutVm(fault, vm)
    );
  }

  /** Tells whether a VM's processes are dead. */
  isDead(vm: number, now: number): boolean {
    return this.hasFault(vm, now, ["vm_died", "process_died", "zone_gone"]);
  }

  /** Tells whether a VM starts a new run after it left. */
  isReplaced(vm: number, now: number, stepMs: number): boolean {
    const hasLeft = this.hasFault(vm, now - stepMs, ["vm_left"]);
    return hasLeft && !this.hasFault(vm, now, ["vm_left"]);
  }

  /** Tells whether two VMs can't reach each other. */
  isPathCut(vm: number, other: number, now: number): boolean {
    const isOff = (it: number) => this.hasFault(it, now, ["cut_off"]);
    if (isOff(vm) || isOff(other)) return true;
    return this.#getActive(now).some((fault) =>
      fault.kind === "path_cut" && isAboutVm(fault, vm) &&
      isAboutVm(fault, other)
    );
  }

  /** Gives what the list says of a VM. */
  getListed(vm: number, asOf: number): "live" | "leaving" | undefined {
    if (this.hasFault(vm, asOf, ["vm_died", "zone_gone"])) return undefined;
    return this.hasFault(vm, asOf, ["vm_left"]) ? "leaving" : "live";
  }

  /** Gives the endpoints that restart in a step. */
  getRestarts(now: number, stepMs: number): number[] {
    return this.#faults
      .filter(({ atMs }) => now <= atMs && atMs < now + stepMs)
      .map(({ fault }) => fault)
      .filter((fault) => fault.kind === "endpoint_restarted")
      .map((fault) => fault.endpoint);
  }

  #getActive(now: number): WorldFault[] {
    return this.#faults
      .filter((it) => it.atMs <= now && now < it.atMs + it.forMs)
      .map((it) => it.fault);
  }
}

// A plain switch: this runs some million times in a property test.
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
