import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import type { FairnessView } from "../fairness/fairnessView.js";

/** Inputs of a dispatch decision besides the dispatch state. */
export interface DispatchInputs {
    /** Monotonic time in milliseconds. */
    readonly now: number;
    readonly index: ConfigurationIndex;
    readonly fairness: FairnessView;
    /** Data centre of this instance. */
    readonly dataCentre: string;
    /** Static quota of slots of this instance by target name, for policies without leases. */
    readonly staticQuotas: ReadonlyMap<string, number>;
}
