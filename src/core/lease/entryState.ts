import type { AccountNeed } from "./accountNeed.js";
import type { SlotHolding } from "./slotHolding.js";

/** What the owner of a pool knows of one incarnation of an entry. */
export interface EntryState {
    readonly instance: string;
    /** Sequence of the newest report; 0 when only its holdings at the takeover are known. */
    readonly reportSequence: number;
    /** Monotonic time in milliseconds at which the newest report arrived. */
    readonly reportedAt: number;
    /** Monotonic time in milliseconds since which requests have been waiting; `undefined` when none waits. */
    readonly waitingSince: number | undefined;
    /** Accounts with waiting requests, lowest normalised service first. */
    readonly needs: readonly AccountNeed[];
    /** By target. */
    readonly holdings: Readonly<Record<string, SlotHolding>>;
}
