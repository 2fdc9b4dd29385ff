import { countBearableConnections } from "./countBearableConnections.js";

interface ConnectionResources {
    /** Memory of the process. */
    readonly memoryBytes: number;
    /** Descriptors that the process may have open. */
    readonly maxDescriptors: number;
}

/** What callers' connections may take of a process. */
interface ConnectionLimits {
    /** Connections whose requests are served. */
    readonly served: number;
    /** Further connections, which are open until their requests have been refused. */
    readonly surplus: number;
    /** Descriptors of both, and of the connections to targets. */
    readonly descriptors: number;
}

/** For files, listening sockets, and connections to the store, to and from peers, and of lookups. */
const MIN_RESERVED = 200;
const RESERVED_SHARE = 0.25;
const MAX_RESERVED_SHARE = 0.5;
const SURPLUS_SHARE = 0.1;

/** Computes how many connections a process may have open, so that neither its memory nor its descriptors run out. */
export function computeConnectionLimits(
    { memoryBytes, maxDescriptors }: ConnectionResources,
): ConnectionLimits {
    const wanted = Math.max(MIN_RESERVED, maxDescriptors * RESERVED_SHARE);
    const reserved = Math.min(wanted, maxDescriptors * MAX_RESERVED_SHARE);
    const descriptors = Math.floor(maxDescriptors - reserved);
    const byMemory = countBearableConnections(memoryBytes);
    const surplus = Math.max(1, Math.min(byMemory, Math.floor(descriptors * SURPLUS_SHARE)));
    return { served: Math.max(1, Math.min(byMemory, descriptors - surplus)), surplus, descriptors };
}
