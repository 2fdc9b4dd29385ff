import type { TargetFault } from "./targetFault.js";

const BREAKING_FAULTS: readonly TargetFault[] = [
    "cut",
    "unframed",
    "lost",
    "stale",
    "crossed",
    "restarted",
    "empty",
];

/** Returns whether the target itself breaks a response with a fault off, or writes one that cannot be passed on. */
export function isBreakingFault(fault: TargetFault): boolean {
    return BREAKING_FAULTS.includes(fault);
}
