import type { Distance } from "./distance.js";
import type { PoolHolding } from "./poolHolding.js";
import type { TargetAnswers } from "./targetAnswers.js";

/** Full state of this entry for one pool, as it is reported to the owner. */
export interface PoolDemand {
    readonly service: string;
    readonly dataCentre: string;
    readonly distance: Distance;
    readonly demands: readonly {
        readonly account: string;
        readonly waiting: number;
        readonly inFlight: number;
        /** Normalised service including the estimated cost in flight. */
        readonly service: number;
    }[];
    /** By target name. */
    readonly holdings: ReadonlyMap<string, PoolHolding>;
    /** By target name; only targets with such answers. */
    readonly answers: ReadonlyMap<string, TargetAnswers>;
    /** Grows with the number of waiting requests and accounts; zero when nothing is asked for. */
    readonly size: number;
    /** Number of returned slots and counted answers so far; a change should reach the owner early. */
    readonly events: number;
}
