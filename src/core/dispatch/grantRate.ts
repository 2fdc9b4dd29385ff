/**
 * Grants of a queue and the time in milliseconds for which requests waited; both decay, so older events count less.
 */
export interface GrantRate {
    readonly recentGrants: number;
    readonly recentBusyMs: number;
}
