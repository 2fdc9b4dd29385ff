/** Returns for each account the higher of two values. */
export function mergeHighest(
    counters: ReadonlyMap<number, number>,
    others: ReadonlyMap<number, number>,
): ReadonlyMap<number, number> {
    const result = new Map(counters);
    for (const [account, value] of others) {
        if (value > (result.get(account) ?? 0)) {
            result.set(account, value);
        }
    }
    return result;
}
