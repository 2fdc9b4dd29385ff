import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";

/** Lists, for each remote data centre, the members that receive updates on its behalf. */
export function listDelegates(
    members: readonly MemberRecord[],
    localDataCentre: string,
): readonly (readonly MemberRecord[])[] {
    const groups = new Map<string, MemberRecord[]>();
    for (const member of members) {
        if (member.dataCentre !== localDataCentre) {
            groups.set(member.dataCentre, [...groups.get(member.dataCentre) ?? [], member]);
        }
    }
    return [...groups.values()].map(group => {
        const delegates = pickReaders(group.map(member => member.name));
        return group.filter(member => delegates.includes(member.name));
    });
}
