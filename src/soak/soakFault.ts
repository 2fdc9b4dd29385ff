import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";

/** Fault that the soak test injects from outside the processes for a limited time. */
export interface SoakFault {
    readonly name: string;
    /**
     * Injects the fault and undoes it.
     *
     * @param random Returns a uniform random number in [0, 1), from the seed.
     * @param wait Waits for some milliseconds, or until the soak ends.
     */
    readonly inject: (
        fleet: CooperativeFleet,
        random: () => number,
        wait: (ms: number) => Promise<void>,
    ) => Promise<void>;
}
