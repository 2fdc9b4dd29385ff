import type { AccountPlan } from "./accountPlan.js";

interface PlanOptions {
    readonly accounts: number;
    readonly instances: readonly string[];
    /** Slots of all targets together. */
    readonly slots: number;
    readonly random: () => number;
}

const LARGE_WEIGHT = 4;
const LARGE_ACCOUNTS = 2;
/** Calls at once in multiples of the slots that the account's share is worth, so that it always has some waiting. */
const BACKLOG = 3;
const BACKLOG_MINIMUM = 12;
const FLOOD = 6;

/**
 * Plans accounts that are backlogged all the time: two large by share, one that floods, each entering through one to
 * three instances of its own, every other one with calls to both services.
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

/** Lower-numbered instances are picked more often, so that some entries carry several times the load of others. */
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
