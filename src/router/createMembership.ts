import { Membership } from "../core/routing/membership.js";

/** Eight missed reports in a row. */
const NEAR_SILENCE_MS = 1200;
/** Summaries of remote regions arrive every 600 ms through a delegate; about five in a row are missed. */
const REMOTE_SILENCE_MS = 3600;
/** Instances that are down count as users of cold targets for this long, because they may merely be unreachable. */
const MEMORY_MS = 120_000;

/** Creates the membership of an instance; its timeouts depend on whether a member is in the same data centre. */
export function createMembership(dataCentre: string): Membership {
    return Membership.create({
        getSilenceMs: record => record.dataCentre === dataCentre ? NEAR_SILENCE_MS : REMOTE_SILENCE_MS,
        memoryMs: MEMORY_MS,
    });
}
