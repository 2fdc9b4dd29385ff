import { Membership } from "../core/routing/membership.js";

/** Eight missed reports in a row. */
const LOCAL_TIMEOUT_MS = 1200;
/** Summaries of remote regions arrive every 600 ms through a delegate; about five in a row are missed. */
const REMOTE_TIMEOUT_MS = 3600;
/** Instances that are down count as users of cold targets for this long, because they may merely be unreachable. */
const DOWN_MEMBER_MEMORY_MS = 120_000;

/** Creates the membership of an instance; its timeouts depend on whether a member is in the same data centre. */
export function createMembership(dataCentre: string): Membership {
    return Membership.create({
        getInactivityLimitMs: record =>
            record.dataCentre === dataCentre ? LOCAL_TIMEOUT_MS : REMOTE_TIMEOUT_MS,
        retentionMs: DOWN_MEMBER_MEMORY_MS,
    });
}
