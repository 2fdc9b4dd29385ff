import type { DispatchPolicy } from "./dispatchPolicy.js";
import { localPolicy } from "./localPolicy.js";

/** Baseline: first come, first served, to the least loaded target, with a fixed part of each target's slots. */
export const fifoPolicy: DispatchPolicy = {
    ...localPolicy,
    compareQueues: (a, b) => a.head.enqueuedAt - b.head.enqueuedAt || a.head.id - b.head.id,
    compareTargets: (a, b) => a.inUse - b.inUse || a.distance - b.distance,
};
