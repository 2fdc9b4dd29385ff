/** What failure detection learns about other instances. */
export type SuspicionEvent =
    /** A call ended; `reached` is true if the instance answered, even with an error. */
    | { readonly type: "result"; readonly instance: string; readonly reached: boolean; }
    /** A probe is about to be sent. */
    | { readonly type: "probed"; readonly instance: string; }
    /** A new instance list; what is known of other instances than these is forgotten. */
    | { readonly type: "listed"; readonly instances: ReadonlySet<string>; };
