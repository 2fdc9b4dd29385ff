/** An action that the owner of a pool takes after a ledger event. */
export type LedgerEffect =
    /** Send an entry its changed leases, unless the event is its own report, whose reply contains them. */
    | { readonly type: "push"; readonly entry: string; }
    /** Count and log what happened. */
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
