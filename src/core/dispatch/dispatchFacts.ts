import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import type { FairnessView } from "../fairness/fairnessView.js";

/** What a decision depends on besides the state of the entry. */
export interface DispatchFacts {
    /** Monotonic time in milliseconds. */
    readonly now: number;
    readonly index: ConfigurationIndex;
    readonly fairness: FairnessView;
    /** Data centre of this daemon. */
    readonly dataCentre: string;
    /** Fixed part of each target's slots by target name, for policies without leases. */
    readonly fixedParts: ReadonlyMap<string, number>;
}
