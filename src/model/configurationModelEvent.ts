/** Event of the configuration adoption model. Numbers are indexes of instances and bundles. */
export type ConfigurationModelEvent =
    /** An operator publishes a bundle; two bundles have the same revision. */
    | { readonly type: "publish"; readonly bundle: number; }
    /** The platform returns any published bundle, because its data may be stale or rolled back. */
    | { readonly type: "read"; readonly instance: number; readonly bundle: number; }
    /** The platform returns a bundle that fails validation. */
    | { readonly type: "read-faulty"; readonly instance: number; }
    /** The instance fetches the bundle in force at a peer. */
    | { readonly type: "fetch"; readonly instance: number; readonly peer: number; }
    /** A starting instance asks a peer, but the call or its reply is lost. */
    | { readonly type: "ask-lost"; readonly instance: number; readonly peer: number; }
    | { readonly type: "finish-asking"; readonly instance: number; }
    /** The instance loses all in-memory state. */
    | { readonly type: "restart"; readonly instance: number; };
