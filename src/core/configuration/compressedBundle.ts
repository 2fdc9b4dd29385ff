/** A bundle as operators publish it when its plain form is large. */
export interface CompressedBundle {
    /** Same revision as in the plain form. */
    readonly revision: number;
    /** Same digest as in the plain form: that of the configuration, not of `data`. */
    readonly digest: string;
    readonly encoding: "gzip+base64";
    /** Canonical JSON of the configuration, compressed with gzip and encoded in base64. */
    readonly data: string;
}
