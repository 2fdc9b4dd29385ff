/** What is recorded of a request that leaves its data centre. */
export interface SpillRecord {
    readonly dataCentre: string;
    readonly isOtherRegion: boolean;
    /** Estimated gain in milliseconds of the caller's wait; `undefined` if no target of the own data centre was compared. */
    readonly gainMs: number | undefined;
}
