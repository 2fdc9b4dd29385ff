import type { DemandState } from "./demandState.js";
import type { LoadReport } from "./loadReport.js";

/** Input of the slot ledger of a pool. */
export type LedgerEvent =
    | {
        readonly type: "configure";
        /** Configured limits by target; targets that are missing are dropped. */
        readonly targets: Readonly<
            Record<
                string,
                { readonly slotLimit: number; readonly coldLimit: number; readonly inService: boolean; }
            >
        >;
    }
    | {
        readonly type: "demand";
        readonly instance: string;
        readonly incarnation: string;
        readonly report: DemandState;
    }
    | {
        readonly type: "holdings";
        readonly instance: string;
        readonly incarnation: string;
        /** Requests in flight by target. */
        readonly inUse: Readonly<Record<string, number>>;
        /** Highest fencing number that the entry knows. */
        readonly fencingNumber: number;
    }
    | {
        readonly type: "loan";
        readonly lender: string;
        /** Slots by target; empty when the lender refused. */
        readonly slots: Readonly<Record<string, number>>;
        /** Monotonic time in milliseconds at which the loan ends. */
        readonly deadline: number;
    }
    | {
        readonly type: "load";
        readonly target: string;
        readonly report: LoadReport;
        /** Monotonic time in milliseconds at which the report was requested. */
        readonly requestedAt: number;
    }
    /** The target refuses connections; it will be cold when it accepts them again. */
    | { readonly type: "load-refused"; readonly target: string; }
    | { readonly type: "tick"; };
