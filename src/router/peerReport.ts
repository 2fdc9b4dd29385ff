import type { LimitReport } from "../core/limits/limitReport.js";
import type { ReportScope } from "../core/limits/reportScope.js";
import type { CrashOutcome } from "../core/routing/crashOutcome.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { MemberStatus } from "../core/routing/memberStatus.js";
import type { SharedSpeed } from "../core/targetSpeed/sharedSpeed.js";

/**
 * Datagram between instances: the report of the sender, or the summary of its whole data centre for remote ones
 * (`data-centre`) or for its own instances (`local-summary`).
 */
export interface PeerReport {
    readonly scope: ReportScope;
    readonly sender: MemberRecord;
    /** Targets with load: identifier, requests in flight, prompt tokens that the target has yet to process. */
    readonly loads: readonly (readonly [id: string, inFlight: number, pendingTokens: number])[];
    /** Recent tokens by client account, requested and granted. */
    readonly usage: readonly (readonly [account: string, asked: number, granted: number])[];
    /** Tokens a second that accounts within their share lacked in the last moments; left out if none, and by older versions. */
    readonly unmet?: number | undefined;
    /** Prompt cache locations that are new since the last report: shared prompt part and target with a cached copy. */
    readonly prompts: readonly (readonly [partId: string, targetId: string])[];
    /** Crashes and complete responses of requests on which targets may crash, new since the last report. */
    readonly crashOutcomes?: readonly CrashOutcome[] | undefined;
    /** Other members known to the sender: a random sample, or in a summary all of its data centre. */
    readonly others: readonly MemberRecord[];
    /** Instances whose reports a local summary includes, with the sequence number of the report. */
    readonly included?: readonly MemberStatus[];
    /** Version of the configuration in force; left out while the sender cannot tell whether it is the newest. */
    readonly configurationVersion?: number | undefined;
    /** Milliseconds since the sender started; left out once it may know a newer version than an instance that starts. */
    readonly startedMsAgo?: number | undefined;
    /** Request limits of targets; left out while no target has one. */
    readonly limits?: LimitReport | undefined;
    /** Speeds of targets, those that have changed most; left out while none is known, and by older versions. */
    readonly speeds?: readonly SharedSpeed[] | undefined;
}
