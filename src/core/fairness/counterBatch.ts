/** Increments sent to one parent; they are resent unchanged until that parent replies. */
export interface CounterBatch {
    readonly sequence: number;
    readonly parent: string;
    readonly increments: ReadonlyMap<number, number>;
}
