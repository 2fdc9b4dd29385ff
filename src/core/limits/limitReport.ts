import type { LimitNews } from "./limitNews.js";
import type { ServiceDemand } from "./serviceDemand.js";

/** Part of a report that concerns request limits; left out while no target has one. */
export interface LimitReport {
    readonly news: readonly LimitNews[];
    /** Demand of the sender, or in a summary of its whole data centre. */
    readonly demands: readonly ServiceDemand[];
    /** Coordinator that the sender backs; `undefined` in summaries, and while its vote is withheld. */
    readonly coordinator?: string | undefined;
    /** Instances of its data centre that the sender knows, itself included, among them those that went down lately. */
    readonly memberCount: number;
}
