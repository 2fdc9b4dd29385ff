/** Permits for one recipient: the number of requests that it may send to each target. */
export interface PermitGrant {
    readonly recipient: string;
    readonly permits: readonly (readonly [target: string, count: number])[];
}
