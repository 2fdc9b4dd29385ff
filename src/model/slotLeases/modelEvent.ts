/** Event of the slot lease model. */
export type ModelEvent =
    | { readonly type: "deliver" | "drop" | "warmUp" | "orphanEnds"; }
    /** The second owner asks the entries for their holdings, but does not borrow slots yet. */
    | { readonly type: "takeover"; readonly transfer: "arrives" | "lost"; }
    /**
     * Time advances by one tick; each listed owner then borrows from both lenders and reads the load of the
     * target. An owner that is not listed is paused.
     */
    | {
        readonly type: "tick";
        readonly owners: readonly string[];
        /** What happens to the replies of the lenders to the first listed owner. */
        readonly transfer: "arrives" | "lost" | "delayed";
    }
    /** An idle owner returns its loans and stops owning the pool. */
    | { readonly type: "release"; readonly owner: string; }
    | {
        /** An entry may report, then start or finish a request; `check` and `write` start one with a pause between. */
        readonly type: "turn";
        readonly entry: number;
        readonly report:
            | {
                /** True if the entry returns its unused slots. */
                readonly isReturning: boolean;
                /** What happens to the report and its reply. */
                readonly transfer: "arrives" | "lost" | "replyDelayed" | "pushDelayed" | "reportDelayed";
            }
            | undefined;
        readonly work: "start" | "check" | "write" | "finish" | undefined;
    }
    | { readonly type: "switchOwner" | "crash"; readonly entry: number; }
    | { readonly type: "restartLender" | "adoptList"; readonly lender: number; };
