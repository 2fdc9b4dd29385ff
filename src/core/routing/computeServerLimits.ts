import { computeConnectionLimits } from "./computeConnectionLimits.js";
import { countBearableConnections } from "./countBearableConnections.js";

/** Numbers of connections that servers for others than callers may have open. */
interface ServerLimits {
    /** Of the server for peers. */
    readonly peers: number;
    /** Of the server that tells callers addresses. */
    readonly lookups: number;
    /** Of each server for few clients, such as checks and operators. */
    readonly checks: number;
}

/** For files, listening sockets and the connections that the process opens itself; no more than half of what is reserved. */
const OWN_DESCRIPTORS = 50;
const PEER_SHARE = 0.375;
const LOOKUP_SHARE = 0.375;
const CHECK_SHARE = 0.125;
/** Share of the connections that the memory bears. */
const MEMORY_SHARE = 0.3;
const MIN_CONNECTIONS = 2;

/** Computes how many connections of others than callers a process may have open, of the descriptors that callers leave. */
export function computeServerLimits(resources: Parameters<typeof computeConnectionLimits>[0]): ServerLimits {
    const { served, surplus, descriptors } = computeConnectionLimits(resources);
    const reserved = resources.maxDescriptors - descriptors;
    const left = Math.max(0, descriptors - served - surplus);
    const byDescriptors = Math.max(reserved / 2, reserved - OWN_DESCRIPTORS) + left;
    const total = Math.min(byDescriptors, countBearableConnections(resources.memoryBytes) * MEMORY_SHARE);
    const count = (share: number): number => Math.max(MIN_CONNECTIONS, Math.floor(total * share));
    return { peers: count(PEER_SHARE), lookups: count(LOOKUP_SHARE), checks: count(CHECK_SHARE) };
}
