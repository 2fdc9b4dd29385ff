import type { TargetState } from "./targetState.js";

/**
 * Presumes the targets of reinstated data centres to be cold until a monotonic time in milliseconds: they got no requests and
 * may be cold before their registration says so.
 */
export function markPresumedCold(
    targets: Iterable<TargetState>,
    reinstatedDataCentres: readonly string[],
    until: number,
): void {
    for (const state of targets) {
        if (reinstatedDataCentres.includes(state.descriptor.dataCentre)) {
            state.presumedColdUntil = until;
        }
    }
}
