/** A claimed idempotency key, held while its request is executed. */
export interface ClaimTicket {
    readonly key: string;
    /** Records that the request was run, or releases the claim of a request that was not run. */
    settle(result: "run" | "released"): void;
}
