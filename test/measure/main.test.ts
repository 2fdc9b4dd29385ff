import test from "ava";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";

function runMeasure(...args: readonly string[]): number | null {
    const path = fileURLToPath(new URL("../../src/measure/main.js", import.meta.url));
    return spawnSync(process.execPath, [path, ...args], { stdio: "ignore" }).status;
}

test("guards against wrong arguments that end like a failed experiment", t => {
    t.is(runMeasure("unknown"), 2);
    t.is(runMeasure("fairness", "--instances", "none"), 2);
    t.is(runMeasure("fairness", "--unknown"), 2);
    t.is(runMeasure("--help"), 0);
});
