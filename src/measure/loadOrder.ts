/** Load that a worker is asked to generate. */
export interface LoadOrder {
    /** Address to call, host:port. */
    readonly entry: string;
    readonly key: string;
    /** Prefix of the path of each call. */
    readonly prefix: string;
    readonly callers: number;
    readonly seconds: number;
}
