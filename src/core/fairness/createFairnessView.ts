import { hashName } from "../configuration/hashName.js";
import { computeService } from "./computeService.js";
import type { CounterState } from "./counterState.js";
import type { FairnessView } from "./fairnessView.js";

interface FairnessViewOptions {
    readonly getShare: (account: string) => number;
    /** An account counts as at most this far behind the highest backlogged one, in tokens per unit of share. */
    readonly maxLag: number;
    readonly remoteLagThreshold: number;
}

/** Creates an immutable view of the counters; each account is computed at its first use. */
export function createFairnessView(state: CounterState, options: FairnessViewOptions): FairnessView {
    const services = new Map<string, number>();
    const floor = state.highest === undefined ? 0 : state.highest - options.maxLag;
    return {
        getNormalizedService: account => {
            const cached = services.get(account);
            if (cached !== undefined) {
                return cached;
            }
            const service = Math.max(
                floor,
                computeService(state, hashName(account), options.getShare(account)),
            );
            services.set(account, service);
            return service;
        },
        lowestBacklogged: state.lowest,
        highestBacklogged: state.highest,
        remoteLagThreshold: options.remoteLagThreshold,
    };
}
