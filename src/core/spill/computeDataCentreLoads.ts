import type { TargetState } from "../routing/targetState.js";
import { computeTargetFill } from "./computeTargetFill.js";
import type { DataCentreLoad } from "./dataCentreLoad.js";

interface LoadOptions {
    /** Whether a target takes requests at its full rate. */
    readonly isOpen: (target: TargetState) => boolean;
    /** Prompt tokens at which the queue of an engine is full; `undefined` for a plain service. */
    readonly maxPendingTokens: number | undefined;
    readonly now: number;
}

/** Targets count as at most twice full, so that one of them does not outweigh the free ones beside it. */
const MAX_FILL = 2;

/** Computes the load of each data centre that has targets. */
export function computeDataCentreLoads(
    targets: Iterable<TargetState>,
    { isOpen, maxPendingTokens, now }: LoadOptions,
): ReadonlyMap<string, DataCentreLoad> {
    const sums = new Map<string, { targets: number; fill: number; ownUse: number; }>();
    for (const target of targets) {
        const { dataCentre, slots } = target.descriptor;
        const sum = sums.get(dataCentre) ?? { targets: 0, fill: 0, ownUse: 0 };
        sums.set(dataCentre, sum);
        sum.ownUse += computeTargetFill(target, slots, maxPendingTokens);
        if (isOpen(target)) {
            const use = {
                inFlight: target.countInFlight(now),
                pendingTokens: target.countPendingTokens(now),
            };
            sum.targets += 1;
            sum.fill += Math.min(MAX_FILL, computeTargetFill(use, slots, maxPendingTokens));
        }
    }
    return new Map([...sums].map(([dataCentre, { targets: count, fill, ownUse }]) => [dataCentre, {
        targets: count,
        fill: count > 0 ? fill / count : 1,
        headroom: count - fill,
        ownUse,
    }]));
}
