/** Latest write to one key of the platform's data; `value` is `undefined` if the key was removed. */
export interface Change {
    readonly key: string;
    readonly revision: number;
    /** Base64, as the platform sends it. */
    readonly value: string | undefined;
}
