/** State of all targets of the fleet at one sampling time. */
export interface FleetSample {
    /** Wall-clock time in milliseconds. */
    readonly atMs: number;
    readonly tokensByAccount: ReadonlyMap<string, number>;
    /** Running requests, and the most that the target can handle at that time, by target name. */
    readonly running: ReadonlyMap<string, number>;
    readonly bearable: ReadonlyMap<string, number>;
}
