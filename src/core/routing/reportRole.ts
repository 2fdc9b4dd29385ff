import type { MemberRecord } from "./memberRecord.js";

/**
 * How an instance exchanges reports within its data centre. `mesh`: with all peers; `delegate`: it receives the reports of
 * all and sends them a summary; `member`: it reports to the delegates and receives summaries, so that its cost does not
 * grow with the data centre.
 */
export interface ReportRole {
    readonly kind: "mesh" | "delegate" | "member";
    /** Position among the delegates, the first one sends the summaries; 0 for other roles. */
    readonly rank: number;
    readonly delegates: readonly MemberRecord[];
}
