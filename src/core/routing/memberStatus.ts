import type { MemberRecord } from "./memberRecord.js";

/** The part of a member's record that changes while its process runs. */
export type MemberStatus = readonly [
    name: string,
    incarnation: number,
    sequence: number,
    state: MemberRecord["state"],
];
