import test from "ava";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";

function runMeasure(...args: readonly string[]): number | null {
    const path = fileURLToPath(new URL("../../src/measure/main.js", import.meta.url));
    return spawnSync(process.execPath, [path, ...args], { stdio: "ignore" }).status;
}

test("exits with code 2 for invalid arguments, unlike a failed benchmark", t => {
    t.is(runMeasure("unknown"), 2);
    t.is(runMeasure("fairness", "--instances", "none"), 2);
    t.is(runMeasure("fairness", "--unknown"), 2);
    t.is(runMeasure("--help"), 0);
});
