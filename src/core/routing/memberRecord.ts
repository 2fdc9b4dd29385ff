/** State that an instance reports about itself. */
export interface MemberRecord {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** IP address. */
    readonly ip: string;
    /** host:port where callers connect. */
    readonly callerAddress: string;
    /** Start of the process in Unix milliseconds; reports of a higher incarnation replace those of a lower one. */
    readonly incarnation: number;
    /** Increases with each report of an incarnation. */
    readonly sequence: number;
    /**
     * `open`: accepts requests; `busy`: overloaded, callers should prefer other instances; `limited`: accepts only
     * requests without a key; `closed`: starting or leaving.
     */
    readonly state: "open" | "busy" | "limited" | "closed";
    /** Share of the processor relative to other instances. */
    readonly weight: number;
}
