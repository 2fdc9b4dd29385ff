import type { DispatchPolicy } from "./dispatchPolicy.js";
import { localPolicy } from "./localPolicy.js";

/** Baseline: first come, first served, to the target with the fewest requests, within static quotas of its slots. */
export const fifoPolicy: DispatchPolicy = {
    ...localPolicy,
    compareQueues: (a, b) => a.head.enqueuedAt - b.head.enqueuedAt || a.head.id - b.head.id,
    compareTargets: (a, b) => a.inUse - b.inUse || a.distance - b.distance,
};
