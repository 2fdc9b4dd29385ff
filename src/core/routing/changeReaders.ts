/** Peers in the same data centre from which an instance reads the platform's changes. */
export interface ChangeReaders {
    /** IP addresses in order of preference; empty if the instance reads from the platform directly. */
    readonly hosts: readonly string[];
    /** A reader whose copy is older than this many milliseconds is taken to be cut off from the platform. */
    readonly maxAgeMs: number;
}
