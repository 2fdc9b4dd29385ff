import type { AccountNeed } from "./accountNeed.js";
import type { SlotHolding } from "./slotHolding.js";

/** One incarnation of an entry as the owner of a pool knows it. */
export interface EntryState {
    readonly instance: string;
    /** Sequence of the newest report; 0 when only the holdings are known. */
    readonly reportSequence: number;
    /** Monotonic time in milliseconds at which the newest report arrived. */
    readonly reportedAt: number;
    /** Monotonic time in milliseconds since which requests have been waiting; `undefined` when none waits. */
    readonly waitingSince: number | undefined;
    readonly needs: readonly AccountNeed[];
    /** By target. */
    readonly holdings: Readonly<Record<string, SlotHolding>>;
}
