/** What the owner does after an event. */
export type LedgerEffect =
    /** The leases of an entry changed; it is told unless the event is its own report. */
    | { readonly type: "push"; readonly entry: string; }
    /** Something that is counted and logged. */
    | {
        readonly type: "record";
        readonly reason:
            | "slot-granted"
            | "slot-returned"
            | "slot-reclaimed"
            | "lease-reduced"
            | "entry-silent"
            | "entry-cleared"
            | "target-cold"
            | "target-busy"
            | "target-refused"
            | "recovered-all-replied"
            | "recovered-term-passed";
        readonly count: number;
        readonly entry?: string;
        readonly target?: string;
    };
