import type { LoadState } from "./loadState.js";

/** What the owner knows of one target of its pool. */
export interface TargetSlots {
    readonly slotLimit: number;
    readonly coldLimit: number;
    /** False when the target or its data centre is out of service. */
    readonly inService: boolean;
    readonly load: LoadState | undefined;
    /** Requests at the target that no known entry accounts for. */
    readonly foreign: number;
    /**
     * Monotonic time in milliseconds at which slots came to this owner or an entry was dropped. The
     * first load report requested after that sets `foreign` to the highest value it allows.
     */
    readonly uncertainSince: number | undefined;
}
