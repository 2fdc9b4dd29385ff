/** What can happen in the slot lease model. */
export type ModelEvent =
    | { readonly type: "deliver" | "drop" | "warmUp" | "orphanEnds"; }
    /** The second owner borrows nothing yet, but asks the entries for their holdings. */
    | { readonly type: "takeover"; readonly transfer: "arrives" | "lost"; }
    /**
     * Time passes; each listed owner then borrows from both lenders and reads the load of the
     * target. An owner that is not listed is paused.
     */
    | {
        readonly type: "tick";
        readonly owners: readonly string[];
        /** What happens to the reply of a lender to the first listed owner. */
        readonly transfer: "arrives" | "lost" | "delayed";
    }
    | { readonly type: "release"; readonly owner: string; }
    | {
        /** An entry may report and then start, check, write or finish a request. */
        readonly type: "turn";
        readonly entry: number;
        readonly report:
            | {
                readonly isReturning: boolean;
                /** What happens to the report and its reply. */
                readonly transfer: "arrives" | "lost" | "replyDelayed" | "pushDelayed" | "reportDelayed";
            }
            | undefined;
        readonly work: "start" | "check" | "write" | "finish" | undefined;
    }
    | { readonly type: "switchOwner" | "crash"; readonly entry: number; }
    | { readonly type: "restartLender" | "adoptList"; readonly lender: number; };
