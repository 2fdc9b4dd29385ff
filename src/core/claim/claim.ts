/** What a holder remembers about one key. */
export interface Claim {
    /** The attempt that the key was granted to; empty if a handover showed that two attempts claimed it. */
    readonly attempt: string;
    /** `run` once the attempt has received a response. */
    readonly state: "claimed" | "run";
}
