/** One key of the platform's data as it was written; without a value it was removed. */
export interface Change {
    readonly key: string;
    readonly revision: number;
    /** Base64, as the platform sends it. */
    readonly value: string | undefined;
}
