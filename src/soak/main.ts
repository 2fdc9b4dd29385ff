import { parseArgs } from "node:util";
import { processFaults } from "./processFaults.js";
import { runSoak } from "./runSoak.js";

const MS_PER_SECOND = 1000;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        duration: { type: "string", default: "10" },
        instances: { type: "string", default: "4" },
        callers: { type: "string", default: "8" },
        // Restricts the faults to those of processes, ports, signals and bursts of connections.
        processes: { type: "boolean", default: false },
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
        ...(values.processes ? { faults: processFaults } : {}),
    });
    violations += result.violations.length;
    process.stdout.write(`${JSON.stringify({ ...result, faults: countNames(result.faults) })}\n`);
}
process.exit(violations > 0 ? 1 : 0);

function countNames(names: readonly string[]): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return Object.fromEntries(counts);
}
