import type { RouterSettings } from "./routerSettings.js";
import type { RoutingState } from "./routingState.js";
import { ServicePool } from "./servicePool.js";

type PoolOptions = Parameters<typeof ServicePool.create>[0];

interface CreateOptions extends Pick<PoolOptions, "getTokensPerSecond" | "getColdShare"> {
    readonly settings: RouterSettings;
    readonly state: RoutingState;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Creates the pool of an instance, whose streams begin and go on where their versions are known. */
export function createServicePool({ state, getNow, ...options }: CreateOptions): ServicePool {
    const { targetStarts, streamOrigins, spill } = state;
    return ServicePool.create({
        ...options,
        ...state,
        spill: spill?.inputs,
        mayBegin: (target, isExplaining) =>
            !targetStarts.isRestarted(target) && streamOrigins.mayBegin(target, getNow(), isExplaining),
        mayGoOn: target => targetStarts.mayGoOn(target),
    });
}
