import type { FleetSample } from "./fleetSample.js";

interface SlotUse {
    /** Running requests / limit of the targets while any request waits, 0 to 1; `undefined` if none ever waited. */
    readonly utilisation: number | undefined;
    /** Slots that are idle although a request waits / limit of the targets, 0 to 1. */
    readonly idleWhileWaitingShare: number;
}

/**
 * Computes the slot utilisation of some targets from the samples at which requests wait for them.
 *
 * @param getWaiting Returns the number of requests that wait for these targets at a sample.
 */
export function computeUse(
    samples: readonly FleetSample[],
    targets: readonly string[],
    getWaiting: (sample: FleetSample, running: number) => number,
): SlotUse {
    let busy = 0;
    let bearable = 0;
    let idleWhileWaiting = 0;
    for (const sample of samples) {
        const running = targets.reduce((sum, name) => sum + (sample.running.get(name) ?? 0), 0);
        const limit = targets.reduce((sum, name) => sum + (sample.bearable.get(name) ?? 0), 0);
        const waiting = getWaiting(sample, running);
        if (waiting <= 0) {
            continue;
        }
        busy += running;
        bearable += limit;
        idleWhileWaiting += Math.min(waiting, Math.max(0, limit - running));
    }
    return {
        utilisation: bearable > 0 ? busy / bearable : undefined,
        idleWhileWaitingShare: bearable > 0 ? idleWhileWaiting / bearable : 0,
    };
}
