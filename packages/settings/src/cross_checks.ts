/**
 * Checks of a configuration that look at more than one field.
 *
 * They also run on the sound parts of a value that the schema refuses, so that
 * an operator sees every fault at once.
 *
 * @module
 */
import { ENDPOINT_ROLE, REQUEST_CLASS } from "@sardinestep/types";
import type * as z from "zod";
import {
  OVERLAY_SCHEMA,
  PIPELINE_SCHEMA,
  SERVICE_SCHEMA,
} from "./configuration_schema.ts";
import { createFault, type Fault, findAt, type PathSegment } from "./fault.ts";

type Pipeline = z.output<typeof PIPELINE_SCHEMA>;
type Stage = Pipeline["stages"][number];
type Overlay = z.output<typeof OVERLAY_SCHEMA>;

/** Something of the configuration with the path that it stands at. */
interface Placed<T> {
  readonly path: readonly PathSegment[];
  readonly name: string;
  readonly value: T;
}

/**
 * Checks what the schema alone can't see.
 *
 * @param value The configuration as it was read, valid or not.
 * @returns Every fault that the sound parts show.
 * @example
 * ```ts
 * checkReferences(JSON.parse(text)).map(formatFault);
 * ```
 */
export function checkReferences(value: unknown): Fault[] {
  const pipelines = findSound(value, ["base", "pipelines"], PIPELINE_SCHEMA);
  const sites = findSound(value, ["sites"], OVERLAY_SCHEMA);
  return [
    ...pipelines.flatMap((pipeline) => checkPipeline(value, pipeline)),
    ...sites.flatMap((site) => checkSite(value, site)),
    ...checkZonesOut(value),
  ];
}

/** The elements of a record of names that their own schema accepts. */
function findSound<T>(
  root: unknown,
  path: readonly PathSegment[],
  schema: z.ZodType<T>,
): Placed<T>[] {
  return getNames(root, path).flatMap((name) => {
    const parsed = schema.safeParse(findAt(root, [...path, name]));
    if (!parsed.success) return [];
    return [{ path: [...path, name], name, value: parsed.data }];
  });
}

function getNames(root: unknown, path: readonly PathSegment[]): string[] {
  const found = findAt(root, path);
  if (typeof found !== "object" || found === null) return [];
  return Object.keys(found);
}

function checkPipeline(root: unknown, pipeline: Placed<Pipeline>): Fault[] {
  const stages = pipeline.value.stages.map((value, index) => ({
    path: [...pipeline.path, "stages", index],
    name: value.name,
    value,
  }));
  const last = stages.length - 1;
  return [
    ...checkDistinct(
      root,
      stages.map((stage) => ({
        path: [...stage.path, "name"],
        name: stage.name,
      })),
      "a name that no other stage of the pipeline has",
    ),
    ...stages.flatMap((stage) => checkService(root, stage)),
    ...stages.flatMap((stage, index) =>
      checkRepeatable(root, stage, {
        requestClass: pipeline.value.requestClass,
        isLast: index === last,
      })
    ),
  ];
}

function checkService(root: unknown, stage: Placed<Stage>): Fault[] {
  const names = getNames(root, ["base", "services"]);
  if (!names.includes(stage.value.service)) {
    const expected = `a service of $.base.services (${names.join(", ")})`;
    return [createFault(root, [...stage.path, "service"], expected)];
  }
  return checkOperation(root, stage);
}

function checkOperation(root: unknown, stage: Placed<Stage>): Fault[] {
  const path = ["base", "services", stage.value.service];
  const service = SERVICE_SCHEMA.safeParse(findAt(root, path));
  if (!service.success) return [];
  const isPlain = service.data.role === ENDPOINT_ROLE.service;
  const hasOperation = stage.value.operation !== "";
  if (isPlain === hasOperation) return [];
  const expected = isPlain
    ? "the operation that the plain service runs"
    : `no operation for a service of role "${service.data.role}"`;
  return [createFault(root, [...stage.path, "operation"], expected)];
}

interface StagePosition {
  readonly requestClass: string;
  readonly isLast: boolean;
}

/**
 * A stage that may not be repeated has to come last: a failure of a later one
 * would leave a call that ran and a request that can't be finished by running
 * it again. Being last, there is at most one of them in a pipeline.
 */
function checkRepeatable(
  root: unknown,
  stage: Placed<Stage>,
  position: StagePosition,
): Fault[] {
  if (stage.value.repeatable) return [];
  const path = [...stage.path, "repeatable"];
  const faults: Fault[] = [];
  if (position.requestClass !== REQUEST_CLASS.single) {
    faults.push(createFault(
      root,
      path,
      `true in a pipeline of class "${position.requestClass}"`,
    ));
  }
  if (!position.isLast) {
    faults.push(createFault(root, path, "true in every stage but the last"));
  }
  return faults;
}

function checkSite(root: unknown, site: Placed<Overlay>): Fault[] {
  const pipelines = getNames(root, ["base", "pipelines"]);
  const customers = getNames(root, ["base", "customers"]);
  return [
    ...checkList(root, [...site.path, "zones"], undefined),
    ...checkList(root, [...site.path, "offers"], {
      names: pipelines,
      expected: "a pipeline of $.base.pipelines",
    }),
    ...Object.keys(site.value.customers)
      .filter((name) => !customers.includes(name))
      .map((name) =>
        createFault(
          root,
          [...site.path, "customers", name],
          "a customer of $.base.customers",
        )
      ),
  ];
}

function checkZonesOut(root: unknown): Fault[] {
  const zones = getNames(root, ["sites"]).flatMap((site) =>
    getList(root, ["sites", site, "zones"])
  );
  return checkList(root, ["zonesOut"], {
    names: zones,
    expected: "a zone of a site",
  });
}

/** The names that a list may hold, and how to say so. */
interface Allowed {
  readonly names: readonly unknown[];
  readonly expected: string;
}

function checkList(
  root: unknown,
  path: readonly PathSegment[],
  allowed: Allowed | undefined,
): Fault[] {
  const elements = getList(root, path).map((name, index) => ({
    path: [...path, index],
    name,
  }));
  const strange = allowed === undefined
    ? []
    : elements.filter((element) => !allowed.names.includes(element.name));
  return [
    ...strange.map((element) =>
      createFault(root, element.path, allowed?.expected ?? "")
    ),
    ...checkDistinct(root, elements, "a name that the list holds only once"),
  ];
}

function getList(root: unknown, path: readonly PathSegment[]): unknown[] {
  const found = findAt(root, path);
  return Array.isArray(found)
    ? found.filter((element) => typeof element === "string")
    : [];
}

function checkDistinct(
  root: unknown,
  elements: readonly { path: readonly PathSegment[]; name: unknown }[],
  expected: string,
): Fault[] {
  const names = elements.map((element) => element.name);
  return elements
    .filter((element, index) => names.indexOf(element.name) < index)
    .map((element) => createFault(root, element.path, expected));
}
