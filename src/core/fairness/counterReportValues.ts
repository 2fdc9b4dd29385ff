/** Content of one counter report, apart from the names of its sender and the revisions. */
export interface CounterReportValues {
    readonly sequence: number;
    /** Incarnation that the increments are addressed to; `undefined` in a first report, which has none. */
    readonly parentIncarnation: string | undefined;
    /** Whole tokens by account. */
    readonly increments: ReadonlyMap<number, number>;
    /** Accounts whose totals the sender requests, with the requests that wait in its subtree. */
    readonly waiting: ReadonlyMap<number, number>;
    /** The sender's totals and bases; only when it attaches to a parent. */
    readonly totals: ReadonlyMap<number, number>;
    readonly bases: ReadonlyMap<number, number>;
}
