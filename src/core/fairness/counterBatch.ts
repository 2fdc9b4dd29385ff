/** Increments on their way to one parent; they are sent again unchanged until that parent answers. */
export interface CounterBatch {
    readonly sequence: number;
    readonly parent: string;
    readonly increments: ReadonlyMap<number, number>;
}
