/** State of all targets of the fleet at one sampling time. */
export interface FleetSample {
    /** Wall-clock time in milliseconds. */
    readonly atMs: number;
    readonly tokensByAccount: ReadonlyMap<string, number>;
    /** Running requests and bearable limits by target. */
    readonly running: ReadonlyMap<string, number>;
    readonly bearable: ReadonlyMap<string, number>;
}
