import { Membership } from "../core/routing/membership.js";

/** Eight reports missed in a row. */
const NEAR_SILENCE_MS = 1200;
/** News of other data centres come every 600 ms, by way of a delegate: about five in a row are missed. */
const REMOTE_SILENCE_MS = 3600;
/** Instances that are down count as users of cold targets for this long, because they may only be out of reach. */
const MEMORY_MS = 120_000;

/** Creates the membership of an instance in a data centre. */
export function createMembership(dataCentre: string): Membership {
    return Membership.create({
        getSilenceMs: record => record.dataCentre === dataCentre ? NEAR_SILENCE_MS : REMOTE_SILENCE_MS,
        memoryMs: MEMORY_MS,
    });
}
