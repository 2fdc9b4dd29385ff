/** Tree in which instances report their counters to parents, up to the root. */
export interface AggregationTree {
    readonly root: string | undefined;
    /** Parent by instance; the root has no parent. */
    readonly parents: ReadonlyMap<string, string>;
    /** Levels below the root. */
    readonly depth: number;
}
