/** What became of a request that was answered. */
export interface RequestResult {
    readonly target: string;
    readonly status: number;
    /** Cost in tokens over all tries. */
    readonly cost: number;
    readonly attempts: number;
}
