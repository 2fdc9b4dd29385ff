/** Returns the sum of two sets of counters. */
export function addCounters(
    counters: ReadonlyMap<number, number>,
    increments: ReadonlyMap<number, number>,
): ReadonlyMap<number, number> {
    if (increments.size === 0) {
        return counters;
    }
    const result = new Map(counters);
    for (const [account, tokens] of increments) {
        result.set(account, (result.get(account) ?? 0) + tokens);
    }
    return result;
}
