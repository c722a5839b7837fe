/**
 * Configuration checks that span several fields.
 *
 * They also run on the valid parts of a value that the schema rejects, so that
 * an operator sees all faults at once.
 *
 * @module
 */
import { ENDPOINT_ROLE, REQUEST_CLASS } from "@sardinestep/types";
import type * as z from "zod";
import {
  PIPELINE_SCHEMA,
  SERVICE_SCHEMA,
  SITE_OVERLAY_SCHEMA,
} from "./configuration_schema.ts";
import {
  createFault,
  findAtPath,
  type PathSegment,
  type ValidationFault,
} from "./fault.ts";

type Pipeline = z.output<typeof PIPELINE_SCHEMA>;
type Stage = Pipeline["stages"][number];
type Overlay = z.output<typeof SITE_OVERLAY_SCHEMA>;

/** A named part of the configuration with its path. */
interface Located<T> {
  readonly path: readonly PathSegment[];
  readonly name: string;
  readonly value: T;
}

/**
 * Checks references between parts of a configuration, which the schema can't.
 *
 * @param value The configuration as read, valid or not.
 * @returns All faults found in the valid parts.
 * @example
 * ```ts
 * checkReferences(JSON.parse(text)).map(formatFault);
 * ```
 */
export function checkReferences(value: unknown): ValidationFault[] {
  const pipelines = findValid(value, ["base", "pipelines"], PIPELINE_SCHEMA);
  const sites = findValid(value, ["sites"], SITE_OVERLAY_SCHEMA);
  return [
    ...pipelines.flatMap((pipeline) => checkPipeline(value, pipeline)),
    ...sites.flatMap((site) => checkSite(value, site)),
    ...checkZonesOut(value),
  ];
}

/** Finds the entries of a record that match the schema. */
function findValid<T>(
  root: unknown,
  path: readonly PathSegment[],
  schema: z.ZodType<T>,
): Located<T>[] {
  return getNames(root, path).flatMap((name) => {
    const parsed = schema.safeParse(findAtPath(root, [...path, name]));
    if (!parsed.success) return [];
    return [{ path: [...path, name], name, value: parsed.data }];
  });
}

function getNames(root: unknown, path: readonly PathSegment[]): string[] {
  const valueAtPath = findAtPath(root, path);
  if (typeof valueAtPath !== "object" || valueAtPath === null) return [];
  return Object.keys(valueAtPath);
}

function checkPipeline(
  root: unknown,
  pipeline: Located<Pipeline>,
): ValidationFault[] {
  const stages = pipeline.value.stages.map((value, index) => ({
    path: [...pipeline.path, "stages", index],
    name: value.name,
    value,
  }));
  const last = stages.length - 1;
  return [
    ...checkUnique(
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

function checkService(root: unknown, stage: Located<Stage>): ValidationFault[] {
  const names = getNames(root, ["base", "services"]);
  if (!names.includes(stage.value.service)) {
    const expected = `a service defined in $.base.services (${
      names.join(", ")
    })`;
    return [createFault(root, [...stage.path, "service"], expected)];
  }
  return checkOperation(root, stage);
}

function checkOperation(
  root: unknown,
  stage: Located<Stage>,
): ValidationFault[] {
  const path = ["base", "services", stage.value.service];
  const service = SERVICE_SCHEMA.safeParse(findAtPath(root, path));
  if (!service.success) return [];
  const isPlainService = service.data.role === ENDPOINT_ROLE.service;
  const hasOperation = stage.value.operation !== "";
  if (isPlainService === hasOperation) return [];
  const expected = isPlainService
    ? 'an operation name for a service of role "service"'
    : `no operation for a service of role "${service.data.role}"`;
  return [createFault(root, [...stage.path, "operation"], expected)];
}

interface StagePosition {
  readonly requestClass: string;
  readonly isLast: boolean;
}

/**
 * Requires a non-repeatable stage to be the last one: if a later stage failed,
 * the call would have run already and the request couldn't be completed by
 * running it again. A pipeline therefore has at most one such stage.
 */
function checkRepeatable(
  root: unknown,
  stage: Located<Stage>,
  position: StagePosition,
): ValidationFault[] {
  if (stage.value.repeatable) return [];
  const path = [...stage.path, "repeatable"];
  const faults: ValidationFault[] = [];
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

function checkSite(root: unknown, site: Located<Overlay>): ValidationFault[] {
  const pipelines = getNames(root, ["base", "pipelines"]);
  const customers = getNames(root, ["base", "customers"]);
  return [
    ...checkNameList(root, [...site.path, "zones"], undefined),
    ...checkNameList(root, [...site.path, "offers"], {
      names: pipelines,
      expected: "a pipeline defined in $.base.pipelines",
    }),
    ...Object.keys(site.value.customers)
      .filter((name) => !customers.includes(name))
      .map((name) =>
        createFault(
          root,
          [...site.path, "customers", name],
          "a customer defined in $.base.customers",
        )
      ),
  ];
}

function checkZonesOut(root: unknown): ValidationFault[] {
  const zones = getNames(root, ["sites"]).flatMap((site) =>
    getStrings(root, ["sites", site, "zones"])
  );
  return checkNameList(root, ["zonesOut"], {
    names: zones,
    expected: "a zone listed by one of the sites",
  });
}

/** Names that a list may contain, and their description for faults. */
interface AllowedNames {
  readonly names: readonly unknown[];
  readonly expected: string;
}

function checkNameList(
  root: unknown,
  path: readonly PathSegment[],
  allowed: AllowedNames | undefined,
): ValidationFault[] {
  const elements = getStrings(root, path).map((name, index) => ({
    path: [...path, index],
    name,
  }));
  const disallowed = allowed === undefined
    ? []
    : elements.filter((element) => !allowed.names.includes(element.name));
  return [
    ...disallowed.map((element) =>
      createFault(root, element.path, allowed?.expected ?? "")
    ),
    ...checkUnique(root, elements, "a name that occurs only once in the list"),
  ];
}

function getStrings(root: unknown, path: readonly PathSegment[]): unknown[] {
  const valueAtPath = findAtPath(root, path);
  return Array.isArray(valueAtPath)
    ? valueAtPath.filter((element) => typeof element === "string")
    : [];
}

function checkUnique(
  root: unknown,
  elements: readonly { path: readonly PathSegment[]; name: unknown }[],
  expected: string,
): ValidationFault[] {
  const names = elements.map((element) => element.name);
  return elements
    .filter((element, index) => names.indexOf(element.name) < index)
    .map((element) => createFault(root, element.path, expected));
}
