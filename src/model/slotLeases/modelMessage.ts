import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";

/** A message in transit to an owner or an entry. */
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
    /** Lease deadline, which no delay of the message extends, see `reportAgeMs` in proto/peer.proto. */
    readonly deadline: number;
}
