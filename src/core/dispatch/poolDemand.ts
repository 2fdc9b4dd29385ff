import type { Distance } from "./distance.js";
import type { PoolHolding } from "./poolHolding.js";
import type { ResponseCounts } from "./responseCounts.js";

/** Demand and holdings of this entry in one pool, reported in full to the owner. */
export interface PoolDemand {
    readonly service: string;
    readonly dataCentre: string;
    readonly distance: Distance;
    readonly demands: readonly {
        readonly account: string;
        readonly waiting: number;
        readonly inFlight: number;
        /** Normalised service including the estimated cost in flight. */
        readonly normalizedService: number;
    }[];
    /** By target name. */
    readonly holdings: ReadonlyMap<string, PoolHolding>;
    /** By target name; only targets that gave such responses. */
    readonly responseCounts: ReadonlyMap<string, ResponseCounts>;
    /** Logarithmic size of the demand in requests and accounts; zero when no slots are requested. */
    readonly size: number;
    /** Number of slot returns and counted responses so far; a change is reported to the owner early. */
    readonly events: number;
}
