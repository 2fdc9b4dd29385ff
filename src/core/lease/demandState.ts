import type { AccountNeed } from "./accountNeed.js";
import type { ReportedHolding } from "./reportedHolding.js";

/** Full state of one entry for one pool, as sent in its demand report. */
export interface DemandState {
    /** Increases with each report of an incarnation. */
    readonly sequence: number;
    /** Sequence of the newest lease state that the entry had applied. */
    readonly appliedSequence: number;
    readonly needs: readonly AccountNeed[];
    /** By target. */
    readonly holdings: Readonly<Record<string, ReportedHolding>>;
}
