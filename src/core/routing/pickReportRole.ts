import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";
import type { ReportRole } from "./reportRole.js";

/** A data centre with at most this many instances exchanges reports directly, which saves the way through a delegate. */
const MAX_MESH_SIZE = 6;

/** Picks the role of an instance among the live peers of its data centre. */
export function pickReportRole(instance: string, localPeers: readonly MemberRecord[]): ReportRole {
    if (localPeers.length < MAX_MESH_SIZE) {
        return { kind: "mesh", rank: 0, delegates: [] };
    }
    const names = pickReaders([instance, ...localPeers.map(peer => peer.name)]);
    const delegates = names.flatMap(name => localPeers.filter(peer => peer.name === name));
    const rank = names.indexOf(instance);
    return rank >= 0 ? { kind: "delegate", rank, delegates } : { kind: "member", rank: 0, delegates };
}
