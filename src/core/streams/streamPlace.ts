/** What decides to which service a stream goes. */
export interface StreamPlace {
    readonly host: string;
    readonly path: string;
    /** Position in [0, 1) among the weights of a route; `undefined` if the caller does not name the stream. */
    readonly position: number | undefined;
}
