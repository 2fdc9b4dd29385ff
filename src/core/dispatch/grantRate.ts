/** How often an account's queue got a slot while requests waited; older events count less. */
export interface GrantRate {
    readonly recentGrants: number;
    readonly recentBusyMs: number;
}
