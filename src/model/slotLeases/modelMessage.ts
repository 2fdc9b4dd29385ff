import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";

/** A message on its way. */
export type ModelMessage =
    | { readonly type: "toOwner"; readonly owner: string; readonly event: LedgerEvent; }
    | ModelLeaseState;

/** A lease state for an entry. */
interface ModelLeaseState {
    readonly type: "toEntry";
    readonly entry: number;
    readonly incarnation: number;
    readonly owner: string;
    readonly sequence: number;
    readonly reportSequence: number;
    readonly slots: number;
    /** Deadline by the rule of `reportAgeMs` in proto/peer.proto: no delay extends it. */
    readonly deadline: number;
}
