/** Load that one client account generates in a benchmark. */
export interface AccountPlan {
    readonly name: string;
    /** Weight of the share. */
    readonly weight: number;
    /** Number of concurrent calls. */
    readonly concurrency: number;
    /** Names of the daemons that the account calls; if empty, it calls the entries that discovery returns. */
    readonly instances: readonly string[];
    /** Fraction of the calls that go to the plain service. */
    readonly plainShare: number;
}
