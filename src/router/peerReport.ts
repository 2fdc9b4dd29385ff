import type { MemberRecord } from "../core/routing/memberRecord.js";

/** What one instance tells others in a datagram. */
export interface PeerReport {
    readonly sender: MemberRecord;
    /** Targets with load: identifier, requests in flight, prompt tokens that were not read yet. */
    readonly loads: readonly (readonly [id: string, inFlight: number, pendingTokens: number])[];
    /** Recent tokens by client account. */
    readonly usage: readonly (readonly [account: string, asked: number, granted: number])[];
    /** Some other members, as far as the sender knows. */
    readonly others: readonly MemberRecord[];
}
