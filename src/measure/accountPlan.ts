/** How one client account takes part in an experiment. */
export interface AccountPlan {
    readonly name: string;
    /** Weight of the share. */
    readonly weight: number;
    /** Calls at once. */
    readonly concurrency: number;
    /** Names of the daemons through which the account enters; empty for the entries that discovery returns. */
    readonly instances: readonly string[];
    /** Part of the calls that go to the plain service. */
    readonly plainShare: number;
}
