/** Result of a request that a target responded to. */
export interface RequestResult {
    readonly target: string;
    readonly status: number;
    /** Cost in tokens over all attempts. */
    readonly cost: number;
    readonly attempts: number;
}
