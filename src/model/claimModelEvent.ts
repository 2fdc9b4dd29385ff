/** Event of the claim model; `holder` is an index into the sorted holders. */
export type ClaimModelEvent =
    /** Chooses the number of members by which the groups seen by the two entries differ. */
    | { readonly type: "views"; readonly difference: number; }
    /** A holder handles a claim call, possibly after the coordinator stopped waiting for the reply. */
    | { readonly type: "claim"; readonly attempt: string; readonly holder: number; }
    /** The coordinator stops waiting for one reply, which is lost, delayed or expected from a holder that is down. */
    | { readonly type: "timeout"; readonly attempt: string; }
    /** The entry writes the request; `ending` says whether the target ran it and whether its response arrived. */
    | {
        readonly type: "write";
        readonly attempt: string;
        readonly ending: "answered" | "answer-lost" | "not-written";
    }
    /** A holder receives the outcome of an attempt. */
    | { readonly type: "settle"; readonly attempt: string; readonly holder: number; }
    /** A holder restarts and loses its claims. */
    | { readonly type: "crash"; readonly holder: number; };
