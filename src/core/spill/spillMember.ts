import type { MemberRecord } from "../routing/memberRecord.js";

/** An instance among which the free capacity of a data centre is divided. */
export type SpillMember = Pick<MemberRecord, "name" | "dataCentre" | "weight">;
