/** What can happen next in the model of a claim; `holder` is an index into the sorted holders. */
export type ClaimModelEvent =
    /** The two entries see groups that differ by this many members. */
    | { readonly type: "views"; readonly difference: number; }
    /** A holder handles a claim call, now or after the coordinator gave up. */
    | { readonly type: "claim"; readonly attempt: string; readonly holder: number; }
    /** The coordinator gives up on one outstanding reply: lost, late or from a holder that is down. */
    | { readonly type: "timeout"; readonly attempt: string; }
    /** The entry writes the request; `ending` is what the target did and the entry learned. */
    | {
        readonly type: "write";
        readonly attempt: string;
        readonly ending: "answered" | "answer-lost" | "not-written";
    }
    /** A holder learns how an attempt ended. */
    | { readonly type: "settle"; readonly attempt: string; readonly holder: number; }
    /** A holder restarts without memory. */
    | { readonly type: "crash"; readonly holder: number; };
