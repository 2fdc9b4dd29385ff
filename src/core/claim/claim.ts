/** What a holder remembers about one key. */
export interface Claim {
    /** The attempt that the key was granted to. */
    readonly attempt: string;
    /** `run` once the attempt has received an answer. */
    readonly state: "claimed" | "run";
}
