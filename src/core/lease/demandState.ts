import type { AccountNeed } from "./accountNeed.js";
import type { ReportedHolding } from "./reportedHolding.js";

/** Full state of one entry for one pool, as its report carries it. */
export interface DemandState {
    readonly sequence: number;
    /** Sequence of the newest lease state that the entry had applied. */
    readonly appliedSequence: number;
    readonly needs: readonly AccountNeed[];
    /** By target. */
    readonly holdings: Readonly<Record<string, ReportedHolding>>;
}
