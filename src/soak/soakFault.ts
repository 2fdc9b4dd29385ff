import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";

/** A fault that the soak injects from outside of the processes; it ends by itself. */
export interface SoakFault {
    readonly name: string;
    /**
     * Injects the fault and undoes it.
     *
     * @param pick Uniform in [0, 1), from the seed.
     * @param wait Waits for some milliseconds, or until the soak ends.
     */
    readonly inject: (
        fleet: CooperativeFleet,
        pick: () => number,
        wait: (ms: number) => Promise<void>,
    ) => Promise<void>;
}
