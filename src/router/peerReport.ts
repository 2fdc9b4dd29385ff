import type { MemberRecord } from "../core/routing/memberRecord.js";

/** What one instance tells others in a datagram: of itself, or of its whole data centre. */
export interface PeerReport {
    readonly scope: "instance" | "data-centre";
    readonly sender: MemberRecord;
    /** Targets with load: identifier, requests in flight, prompt tokens that were not read yet. */
    readonly loads: readonly (readonly [id: string, inFlight: number, pendingTokens: number])[];
    /** Recent tokens by client account. */
    readonly usage: readonly (readonly [account: string, asked: number, granted: number])[];
    /** Shared prompt parts that targets have read since the last report. */
    readonly prompts: readonly (readonly [partId: string, targetId: string])[];
    /** Other members that the sender knows: some, or all of its data centre. */
    readonly others: readonly MemberRecord[];
}
