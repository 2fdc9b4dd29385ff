import { performance } from "node:perf_hooks";
import { checkSpecification } from "./checkSpecification.js";
import { specifications } from "./specifications.js";

for (const specification of specifications) {
    const startedAt = performance.now();
    const result = checkSpecification(specification);
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
    const lines = [
        `${specification.name}: ${result.states} states, ${result.transitions} transitions, ${seconds} s`,
        ...specification.bounds.map(bound => `  bound: ${bound}`),
        ...specification.invariants.map(({ name }) => {
            const violation = result.violations.find(({ invariant }) => invariant === name);
            return violation
                ? `  violated: ${name}\n    ${violation.events.join("\n    ")}`
                : `  holds: ${name}`;
        }),
    ];
    process.stdout.write(`${lines.join("\n")}\n`);
    if (result.violations.length > 0) {
        process.exitCode = 1;
    }
}
