import type { LoadState } from "./loadState.js";

/** What the owner knows of one target of its pool. */
export interface TargetSlots {
    /** Most slots of the target by its configuration. */
    readonly slotLimit: number;
    /** Load limit of the target while it is cold or sends no load reports. */
    readonly coldLimit: number;
    /** False when the target or its data centre is out of service. */
    readonly inService: boolean;
    readonly load: LoadState | undefined;
    /** Requests at the target that no known entry accounts for. */
    readonly foreign: number;
    /**
     * Monotonic time in milliseconds at which the target was added, its service state changed or its loans grew. Load
     * reports set `foreign` to the highest value that they allow, up to the first one requested after that time.
     */
    readonly uncertainSince: number | undefined;
}
