import { build } from "esbuild";

/** Bundles the router into one file, because each file that a process loads costs processor time at its start. */
await build({
    entryPoints: ["src/platform/main.ts"],
    outfile: "target/baobabspread-router.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
});
