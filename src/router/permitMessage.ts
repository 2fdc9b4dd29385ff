import type { PermitGrant } from "../core/limits/permitGrant.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";

/** Datagram with which a coordinator hands permits for requests to targets with a limit to another instance. */
export interface PermitMessage {
    readonly scope: "permits";
    readonly sender: MemberRecord;
    readonly permits: PermitGrant["permits"];
}
