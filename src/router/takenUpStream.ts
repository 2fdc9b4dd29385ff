/** A stream that a caller takes up, as its request names it. */
export interface TakenUpStream {
    readonly account: string;
    /** Identifier of the caller's attempt that brought the stream's first event; `undefined` if the caller names none. */
    readonly streamId: string | undefined;
    readonly host: string;
    readonly path: string;
}
