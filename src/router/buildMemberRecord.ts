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
        dataCentre: settings.locality.dataCentre,
        region: settings.locality.region,
        ip: settings.peerAddress.host,
        callerAddress: `${settings.callerAddress.host}:${settings.callerAddress.port}`,
        weight: settings.weight,
    };
}
