import { computeConnectionLimits } from "../core/routing/computeConnectionLimits.js";
import { computeServerLimits } from "../core/routing/computeServerLimits.js";
import { readDescriptorLimit } from "../shared/readDescriptorLimit.js";

interface DaemonLimits {
    /** Connections of callers that are served. */
    readonly maxServed: number;
    /** Further connections of callers that are open until they are refused. */
    readonly maxRefused: number;
    readonly maxPeers: number;
    readonly maxOperators: number;
}

/** What a daemon has. */
const MEMORY_BYTES = 256_000_000;
/** The limit that operating systems set most often. */
const DEFAULT_MAX_DESCRIPTORS = 1024;

/** Returns how many connections a daemon has open at most. */
export function computeDaemonLimits(): DaemonLimits {
    const resources = {
        memoryBytes: MEMORY_BYTES,
        maxDescriptors: readDescriptorLimit() ?? DEFAULT_MAX_DESCRIPTORS,
    };
    const { served, surplus, descriptors } = computeConnectionLimits(resources);
    const { peers, lookups, checks } = computeServerLimits(resources);
    return {
        // Each may need a connection to a target.
        maxServed: Math.min(served, Math.floor((descriptors - surplus) / 2)),
        maxRefused: surplus,
        // A daemon has no server for lookups, and one for checks.
        maxPeers: peers + lookups,
        maxOperators: 2 * checks,
    };
}
