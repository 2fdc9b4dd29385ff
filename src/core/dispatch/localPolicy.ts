import type { DispatchPolicy } from "./dispatchPolicy.js";

/** Baseline: each instance is fair by itself, within static quotas of each target's slots. */
export const localPolicy: DispatchPolicy = {
    usesLeases: false,
    getAllowance: (_state, target, inputs) => ({
        slots: inputs.staticQuotas.get(target.name) ?? 0,
        fencingNumber: 0,
        startDeadline: Number.POSITIVE_INFINITY,
    }),
    compareQueues: (a, b) =>
        a.normalizedService - b.normalizedService || a.head.enqueuedAt - b.head.enqueuedAt,
    compareTargets: (a, b) =>
        a.distance - b.distance || a.inUse / a.allowance.slots - b.inUse / b.allowance.slots,
    computeInterest: () => "ask",
    isWithinHorizon: () => true,
};
