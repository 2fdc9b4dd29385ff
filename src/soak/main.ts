import { parseArgs } from "node:util";
import { runSoak } from "./runSoak.js";

const MS_PER_SECOND = 1000;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        duration: { type: "string", default: "10" },
        instances: { type: "string", default: "4" },
        callers: { type: "string", default: "8" },
    },
});
const first = Number(values.seed);
let violations = 0;
for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
    const result = await runSoak({
        seed,
        durationMs: Number(values.duration) * MS_PER_SECOND,
        instances: Number(values.instances),
        callers: Number(values.callers),
    });
    violations += result.violations.length;
    process.stdout.write(`${JSON.stringify({ ...result, faults: result.faults.length })}\n`);
}
process.exit(violations > 0 ? 1 : 0);
