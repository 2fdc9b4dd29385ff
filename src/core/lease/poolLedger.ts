import type { EntryState } from "./entryState.js";
import type { SlotLoan } from "./slotLoan.js";
import type { TargetSlots } from "./targetSlots.js";

/** Slot ledger of one pool, kept by its owner. */
export interface PoolLedger {
    /** One number for each takeover, so that leases of the same owner do not fence off one another. */
    readonly fencingNumber: number;
    /** Sequence of the newest lease state. */
    readonly sequence: number;
    /** Present until all instances have reported their holdings or the deadline has expired. */
    readonly recovery: { readonly deadline: number; readonly pending: readonly string[]; } | undefined;
    /** By target. */
    readonly targets: Readonly<Record<string, TargetSlots>>;
    /** By name of the lender. */
    readonly loans: Readonly<Record<string, SlotLoan>>;
    /** By instance and incarnation, see `buildEntryKey`. */
    readonly entries: Readonly<Record<string, EntryState>>;
}
