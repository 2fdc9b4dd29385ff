interface SlotUse {
    readonly account: string;
    /** Wall-clock times in milliseconds; the end is `undefined` while the request runs. */
    readonly startMs: number;
    readonly endMs: number | undefined;
    /** Tokens served, prompt included; 0 for a refused request. */
    readonly tokens: number;
}

interface SlotPeak {
    /** Largest number of slots that one account held at once: m of the gap bound. */
    readonly slots: number;
    /** Largest cost of one request in tokens: Cmax of the gap bound. */
    readonly cost: number;
}

/** Computes the observed inputs of the gap bound from the requests that ran between two wall-clock times. */
export function computeSlotPeak(uses: readonly SlotUse[], startMs: number, endMs: number): SlotPeak {
    const within = uses.filter(use =>
        use.tokens > 0 && use.startMs <= endMs && (use.endMs ?? endMs) >= startMs
    );
    const held = new Map<string, number>();
    const changes = within.flatMap(({ account, startMs: from, endMs: to }) => [
        { account, atMs: from, change: 1 },
        { account, atMs: to ?? Number.POSITIVE_INFINITY, change: -1 },
    ]);
    let slots = 0;
    // At equal times ends come before starts, so that a slot reused within a millisecond counts as one.
    for (const { account, change } of changes.sort((a, b) => a.atMs - b.atMs || a.change - b.change)) {
        const count = (held.get(account) ?? 0) + change;
        held.set(account, count);
        slots = Math.max(slots, count);
    }
    return { slots, cost: within.reduce((most, use) => Math.max(most, use.tokens), 0) };
}
