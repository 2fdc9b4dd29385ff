/** Place of each instance in the aggregation tree. */
export interface AggregationTree {
    readonly root: string | undefined;
    /** Parent by instance; the root has none. */
    readonly parents: ReadonlyMap<string, string>;
    /** Levels below the root. */
    readonly depth: number;
}
