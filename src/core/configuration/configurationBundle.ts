import type { Configuration } from "./configuration.js";

/** A validated configuration with its revision and digest, as operators publish it. */
export interface ConfigurationBundle {
    /** Grows with each published bundle; the order of bundles is (revision, digest). */
    readonly revision: number;
    /** SHA-256 (hex) of the canonical JSON of `configuration`. */
    readonly digest: string;
    readonly configuration: Configuration;
}
