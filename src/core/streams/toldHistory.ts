/** What an instance tells a peer that has just started about the versions that were listed before. */
export interface ToldHistory {
    /** Age in milliseconds of the teller's newest confirmation of its list. */
    readonly confirmedAgeMs: number;
    /** Time in milliseconds for which the teller has followed the list without a gap. */
    readonly coveredMs: number;
    /** Digest of the routes of streams, and the time in milliseconds for which they have not changed. */
    readonly routes: string;
    readonly routesMs: number;
    /** Service, version (`null` if the registration names none) and milliseconds since it was last listed. */
    readonly versions: readonly (readonly [string, string | null, number])[];
}
