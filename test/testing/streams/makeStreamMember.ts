import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";

const DATA_CENTRES = 3;

/** Makes an instance in one of three data centres. */
export function makeStreamMember(index: number): MemberRecord {
    return {
        name: `i${index}`,
        dataCentre: `dc${index % DATA_CENTRES}`,
        region: `dc${index % DATA_CENTRES}`,
        ip: `10.0.${Math.floor(index / 250)}.${index % 250}`,
        callerAddress: "127.0.0.1:1",
        incarnation: 0,
        sequence: 0,
        state: "open",
        weight: 1,
    };
}
