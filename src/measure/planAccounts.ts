import type { AccountPlan } from "./accountPlan.js";

interface PlanOptions {
    readonly accounts: number;
    readonly instances: readonly string[];
    /** Total number of slots of all targets. */
    readonly slots: number;
    readonly random: () => number;
}

const LARGE_WEIGHT = 4;
const LARGE_ACCOUNTS = 2;
/** Concurrent calls as a multiple of the account's fair share of the slots; above 1, so that some always wait. */
const BACKLOG = 3;
const BACKLOG_MINIMUM = 12;
const FLOOD = 6;

/**
 * Plans accounts that are always backlogged: two with a large share and one that floods. Each calls one to three
 * instances, and every other account calls both services.
 */
export function planAccounts(options: PlanOptions): readonly AccountPlan[] {
    const weights = Array.from(
        { length: options.accounts },
        (_, index) => index < LARGE_ACCOUNTS ? LARGE_WEIGHT : 1,
    );
    const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight, index) => {
        const floods = index === options.accounts - 1;
        const worth = options.slots * weight / weightSum;
        return {
            name: `${floods ? "flood" : weight > 1 ? "large" : "small"}-${index}`,
            weight,
            concurrency: Math.ceil(worth * (floods ? FLOOD * BACKLOG : BACKLOG)) + BACKLOG_MINIMUM,
            instances: pickInstances(options.instances, 1 + index % 3, options.random),
            plainShare: index % 2 === 0 ? 0 : 0.2,
        };
    });
}

/** Prefers lower-numbered instances, so that some entries get several times the load of others. */
function pickInstances(
    instances: readonly string[],
    count: number,
    random: () => number,
): readonly string[] {
    const picked = new Set<string>();
    while (picked.size < Math.min(count, instances.length)) {
        picked.add(instances[Math.floor(random() ** 2 * instances.length)] ?? "");
    }
    return [...picked];
}
