import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { RouterSettings } from "./routerSettings.js";

/** Builds the membership record that an instance publishes about itself. */
export function buildMemberRecord(
    settings: RouterSettings,
    state: Pick<MemberRecord, "incarnation" | "sequence" | "state">,
): MemberRecord {
    return {
        ...state,
        name: settings.instance,
        dataCentre: settings.place.dataCentre,
        region: settings.place.region,
        ip: settings.peers.host,
        callerAddress: `${settings.callers.host}:${settings.callers.port}`,
        weight: settings.weight,
    };
}
