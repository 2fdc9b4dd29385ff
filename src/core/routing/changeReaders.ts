/** Instances of the own data centre from which an instance reads the platform's changes. */
export interface ChangeReaders {
    /** IP addresses in the order in which they are tried; empty if the instance reads the platform itself. */
    readonly hosts: readonly string[];
    /** A reader whose copy is older, in milliseconds, has lost the platform. */
    readonly maxAgeMs: number;
}
