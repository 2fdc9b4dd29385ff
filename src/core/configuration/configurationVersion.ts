/** Identifies a bundle; bundles are ordered by revision, then digest. */
export interface ConfigurationVersion {
    readonly revision: number;
    /** SHA-256 (hex) of the canonical JSON of the configuration. */
    readonly digest: string;
}
