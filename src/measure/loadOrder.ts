/** What a load worker has to do. */
export interface LoadOrder {
    /** Address to call, host:port. */
    readonly entry: string;
    readonly key: string;
    /** What comes before the path of a call. */
    readonly prefix: string;
    readonly callers: number;
    readonly seconds: number;
}
