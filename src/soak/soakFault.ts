import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { SoakObserver } from "./soakObserver.js";

/** Fault that the soak test injects from outside the processes for a limited time. */
export interface SoakFault {
    readonly name: string;
    /**
     * Injects the fault and undoes it.
     *
     * @param random Returns a uniform random number in [0, 1), from the seed.
     * @param wait Waits for some milliseconds, or until the soak ends.
     * @param observer Observes the requests that the fault sends.
     */
    readonly inject: (
        fleet: CooperativeFleet,
        random: () => number,
        wait: (ms: number) => Promise<void>,
        observer: SoakObserver,
    ) => Promise<void>;
}
