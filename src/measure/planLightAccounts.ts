import type { AccountPlan } from "./accountPlan.js";

/** Plans accounts of equal share that call the entries from discovery, with some calls to the plain service. */
export function planLightAccounts(
    accounts: number,
    callers: number,
    plainShare: number,
): readonly AccountPlan[] {
    return Array.from({ length: accounts }, (_, index) => ({
        name: `account-${index}`,
        weight: 1,
        concurrency: Math.max(1, Math.round(callers / accounts)),
        instances: [],
        plainShare,
    }));
}
