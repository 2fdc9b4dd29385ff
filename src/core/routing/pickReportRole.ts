import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";
import type { ReportRole } from "./reportRole.js";

/** A data centre with at most this many instances exchanges reports directly, which saves the way through a delegate. */
const MAX_MESH_SIZE = 6;
/** The second delegate replaces the first one when that fails. */
const DELEGATES = 2;

/**
 * Picks the role of an instance among the live peers of its data centre. Busy instances are no delegates, because their
 * summaries would be late, and neither are those that start or leave.
 */
export function pickReportRole(self: MemberRecord, localPeers: readonly MemberRecord[]): ReportRole {
    if (localPeers.length < MAX_MESH_SIZE) {
        return { kind: "mesh", rank: 0, delegates: [] };
    }
    const members = [self, ...localPeers];
    const suitable = members.filter(({ state }) => state === "open" || state === "limited");
    const candidates = suitable.length >= DELEGATES ? suitable : members;
    const names = pickReaders(candidates.map(({ name }) => name)).slice(0, DELEGATES);
    const delegates = names.flatMap(name => localPeers.filter(peer => peer.name === name));
    const rank = names.indexOf(self.name);
    return rank >= 0 ? { kind: "delegate", rank, delegates } : { kind: "member", rank: 0, delegates };
}
