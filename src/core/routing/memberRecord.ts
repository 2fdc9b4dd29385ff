/** What an instance tells about itself. */
export interface MemberRecord {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** IP address. */
    readonly ip: string;
    /** host:port where callers connect. */
    readonly callerAddress: string;
    /** Start of the process in Unix milliseconds; a higher one replaces a lower one. */
    readonly incarnation: number;
    /** Grows with each report of one incarnation. */
    readonly sequence: number;
    /** `open`: takes requests; `busy`: is late, callers should prefer others; `limited`: takes only requests without a key; `closed`: starting or leaving. */
    readonly state: "open" | "busy" | "limited" | "closed";
    /** Share of the processor relative to other instances. */
    readonly weight: number;
}
