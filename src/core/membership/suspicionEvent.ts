/** Input of the failure detection of peers. */
export type SuspicionEvent =
    /** A call ended; `reached` is true if the instance replied, even with an error. */
    | { readonly type: "result"; readonly instance: string; readonly reached: boolean; }
    /** A probe is about to be sent. */
    | { readonly type: "probed"; readonly instance: string; }
    /** A new instance list was adopted; the state of instances that it does not name is dropped. */
    | { readonly type: "listed"; readonly instances: ReadonlySet<string>; };
