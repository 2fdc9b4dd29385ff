/** One quantity, measured at three or more sizes. */
export interface SlopeSeries {
    /** Stable name, for example `idle.bytesSentPerSecond`. */
    readonly name: string;
    /** What the size counts, for example `daemon`. */
    readonly per: string;
    /** Unit of the quantity. */
    readonly unit: string;
    /** `fleet`: processes under load; `process`: the product's functions in one process; `count`: from the protocol. */
    readonly method: "fleet" | "process" | "count";
    readonly points: readonly (readonly [size: number, value: number])[];
}
