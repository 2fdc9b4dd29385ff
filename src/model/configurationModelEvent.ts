/** What may happen in the model of configuration adoption. Numbers are indexes of instances and bundles. */
export type ConfigurationModelEvent =
    /** An operator publishes; two bundles have the same revision. */
    | { readonly type: "publish"; readonly bundle: number; }
    /** A read of the platform, which may be stale or have gone back, so any published bundle is read. */
    | { readonly type: "read"; readonly instance: number; readonly bundle: number; }
    /** The platform shows a bundle that does not pass the check. */
    | { readonly type: "read-faulty"; readonly instance: number; }
    | { readonly type: "fetch"; readonly instance: number; readonly peer: number; }
    /** A starting instance asks a peer, and the call or its reply is lost. */
    | { readonly type: "ask-lost"; readonly instance: number; readonly peer: number; }
    | { readonly type: "finish-asking"; readonly instance: number; }
    /** The instance loses all memory. */
    | { readonly type: "restart"; readonly instance: number; };
