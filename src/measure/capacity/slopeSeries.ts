/** One quantity, measured at three or more sizes. */
export interface SlopeSeries {
    /** Stable name, for example `idle.bytes.total`. */
    readonly name: string;
    /** What the size counts, for example `daemon`. */
    readonly per: string;
    /** Unit of the quantity. */
    readonly unit: string;
    /** `fleet`: running daemons; `process`: production functions in one process; `count`: encoded message sizes. */
    readonly method: "fleet" | "process" | "count";
    readonly points: readonly (readonly [size: number, value: number])[];
}
