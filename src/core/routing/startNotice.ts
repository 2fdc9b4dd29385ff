/** What an instance tells peers that may have just started. */
export interface StartNotice {
    /** Version of the configuration in force; `undefined` while the sender cannot tell whether it is the newest. */
    readonly version: number | undefined;
    /** Milliseconds since the sender started; `undefined` if it may know a newer version than an instance that starts. */
    readonly startedMsAgo: number | undefined;
}
