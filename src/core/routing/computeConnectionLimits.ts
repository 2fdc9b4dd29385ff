interface ConnectionResources {
    /** Memory of the process. */
    readonly memoryBytes: number;
    /** Descriptors that the process may have open. */
    readonly maxDescriptors: number;
}

/** Numbers of callers' connections that a process may have open at once. */
interface ConnectionLimits {
    /** Connections whose requests are served. */
    readonly served: number;
    /** Further connections, which are open until their requests have been refused. */
    readonly surplus: number;
}

/** Memory of a connection with the head of a request; buffered bodies have a limit of their own. */
const CONNECTION_BYTES = 20_480;
const MEMORY_SHARE = 0.25;
/** For files, listening sockets, and connections to the store and to peers. */
const RESERVED_DESCRIPTORS = 200;
const MAX_RESERVED_SHARE = 0.5;
/** The rest of the descriptors is for connections to targets. */
const SERVED_SHARE = 0.7;
const SURPLUS_SHARE = 0.15;

/** Computes how many connections of callers a process may have open, so that neither its memory nor its descriptors run out. */
export function computeConnectionLimits(
    { memoryBytes, maxDescriptors }: ConnectionResources,
): ConnectionLimits {
    const byMemory = memoryBytes * MEMORY_SHARE / CONNECTION_BYTES;
    const descriptors = maxDescriptors - Math.min(RESERVED_DESCRIPTORS, maxDescriptors * MAX_RESERVED_SHARE);
    return {
        served: Math.max(1, Math.floor(Math.min(byMemory, descriptors * SERVED_SHARE))),
        surplus: Math.max(1, Math.floor(Math.min(byMemory, descriptors * SURPLUS_SHARE))),
    };
}
