/** What an instance tells a peer that has just started about the versions that were listed before. */
export interface ToldHistory {
    /** Age in milliseconds of the teller's newest confirmation of its list. */
    readonly confirmedAgeMs: number;
    /** Time in milliseconds for which the teller has followed the list without a gap. */
    readonly coveredMs: number;
    /** Digest of the resumable routes, which have not changed for `coveredMs`. */
    readonly routes: string;
    /** Service, version (`null` if the registration names none) and milliseconds since it was last listed. */
    readonly versions: readonly (readonly [string, string | null, number])[];
}
