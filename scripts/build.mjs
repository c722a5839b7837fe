/**
 * Bundles each program into one file under dist/, so that a VM needs only
 * Node.js and that file. `--platform` bundles the gateway into target/ instead.
 *
 * `--without MECHANISM` bundles the daemons with one mechanism disabled into
 * dist/without-MECHANISM/. With `--platform` it overwrites the gateway in target/,
 * which is meant for a scratch copy of the repository. Such builds serve only to
 * show the violation that the mechanism prevents, or as a benchmark baseline. The
 * mutants are defined in MUTANTS_FILES.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { mkdirSync, mkdtempSync } from "node:fs";
import { chmod, readdir, readFile, rename, rmdir } from "node:fs/promises";
import { resolve } from "node:path";
import { parseArgs } from "node:util";

const DAEMONS = {
  "sardinestep-entry": "packages/entry/src/main.ts",
  "sardinestep-control": "packages/control/src/main.ts",
  "sardinestep-fakes": "packages/fakes/src/main.ts",
};
const PROGRAMS = {
  ...DAEMONS,
  "sardinestep": "packages/cli/src/main.ts",
  "bench_decisions": "packages/bench/src/bench_decisions.ts",
  "bench_serving": "packages/bench/src/bench_serving.ts",
  "bench_rollout": "packages/bench/src/bench_rollout.ts",
  "bench_entry": "packages/bench/src/bench_entry.ts",
  "bench_baseline": "packages/bench/src/bench_baseline.ts",
  "bench_claims": "packages/bench/src/bench_claims.ts",
  "capacity": "packages/bench/src/capacity/main.ts",
  "bench_load": "packages/bench/src/bench_load.ts",
  "demo": "packages/demo/src/main.ts",
  "prove": "packages/prove/src/main.ts",
};
const PLATFORM_PROGRAMS = {
  "sardinestep-gateway.bundle": "platform/src/main.ts",
  "sardinestep-gateway": "platform/src/launcher.ts",
  "write_code_cache": "platform/src/write_code_cache.ts",
};
const GATEWAY = "sardinestep-gateway";
const MUTANTS_FILES = [
  "packages/prove/mutants.json",
  "packages/bench/mutants.json",
  "packages/gateway/mutants.json",
];

const { values } = parseArgs({
  options: { without: { type: "string" }, platform: { type: "boolean" } },
});
const isMutant = values.without !== undefined;
const plugins = isMutant
  ? [createMutationPlugin(await findMutant(values.without))]
  : [];

if (values.platform) await buildPlatform();
else await buildPrograms(pickPrograms());

async function buildPrograms({ outdir, programs }) {
  const buildFolder = createBuildFolder(outdir);
  await build({
    entryPoints: programs,
    outdir: buildFolder,
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: "linked",
    // Some libraries are CommonJS and call require() for built-in modules.
    banner: {
      js:
        '#!/usr/bin/env node\nimport { createRequire as __createRequire } from "node:module";\n' +
        "const require = __createRequire(import.meta.url);",
    },
    logLevel: "warning",
    plugins,
  });
  for (const program of Object.keys(programs)) {
    await chmod(`${buildFolder}/${program}.mjs`, 0o755);
  }
  await moveFiles(buildFolder, outdir);
}

/** Uses CommonJS, because only CommonJS scripts can ship a V8 code cache. */
async function buildPlatform() {
  const buildFolder = createBuildFolder("target");
  await build({
    entryPoints: PLATFORM_PROGRAMS,
    outdir: buildFolder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    alias: { "node:http2": "./scripts/no_http2.mjs" },
    logLevel: "warning",
    plugins,
  });
  execFileSync(process.execPath, [
    ...await readDeployedFlags(),
    `${buildFolder}/write_code_cache.cjs`,
    `${buildFolder}/${GATEWAY}.bundle.cjs`,
    `${buildFolder}/${GATEWAY}.cache`,
  ], { stdio: ["ignore", "inherit", "inherit"] });
  await moveFiles(buildFolder, "target");
}

/**
 * Creates a temporary folder for this build, next to the files that it replaces.
 *
 * Moving finished files prevents a program from being started from a file that a
 * concurrent build has partly written: tests then fail with syntax errors although
 * the program is correct.
 */
function createBuildFolder(outdir) {
  mkdirSync(outdir, { recursive: true });
  return mkdtempSync(`${outdir}/.build-`);
}

async function moveFiles(from, to) {
  for (const file of await readdir(from)) {
    await rename(`${from}/${file}`, `${to}/${file}`);
  }
  await rmdir(from);
}

/** V8 rejects a code cache that was created with different flags. */
async function readDeployedFlags() {
  const text = await readFile("deploy/system.toml", "utf8");
  const command = text.match(/^run = "node (.*)"$/m)?.[1] ?? "";
  return command.split(" ").filter((word) => word.startsWith("--"));
}

function pickPrograms() {
  if (!isMutant) return { outdir: "dist", programs: PROGRAMS };
  return { outdir: `dist/without-${values.without}`, programs: DAEMONS };
}

async function findMutant(name) {
  const texts = await Promise.all(
    MUTANTS_FILES.map((file) => readFile(file, "utf8")),
  );
  const mutants = texts.flatMap((text) => JSON.parse(text));
  const mutant = mutants.find((candidate) => candidate.mechanism === name);
  if (!mutant) throw new Error(`Cannot find mechanism "${name}"`);
  return mutant;
}

/** Replaces a text in a source file; fails the build if it isn't found once. */
function createMutationPlugin({ mechanism, file, find, replace }) {
  const path = resolve(file);
  return {
    name: `without-${mechanism}`,
    setup({ onLoad }) {
      onLoad({ filter: /\.ts$/ }, async (args) => {
        if (args.path !== path) return undefined;
        const source = await readFile(path, "utf8");
        if (source.split(find).length !== 2) {
          throw new Error(
            `Cannot mutate "${file}": the text to replace must occur exactly once`,
          );
        }
        return { contents: source.replace(find, () => replace), loader: "ts" };
      });
    },
  };
}
